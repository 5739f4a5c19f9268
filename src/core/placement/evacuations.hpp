// The data centres that operators evacuate: one entry of the store each, for as
// long as it exists. Every node watches these entries together with the
// configuration, and members pass their newest list on to each other, for nodes
// that the store does not serve.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "ports/platform.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

// The evacuated data centres as of a revision of the store.
struct evacuation_list
{
    // The store's era, which grows each time that the store returns from an
    // older copy and gives revisions out again.
    std::uint64_t era = 0;
    // Zero if nothing is known.
    std::uint64_t revision = 0;
    // Sorted.
    std::vector<data_centre_id> data_centres;
    bool operator==(const evacuation_list&) const = default;
};

// Whether `left` describes the store at a later time than `right`.
[[nodiscard]] bool
is_newer(const evacuation_list& left, const evacuation_list& right);

// Entries beyond this number have no effect, which bounds the messages that
// contain the list.
constexpr std::size_t max_evacuated = 128;

struct evacuation_state
{
    evacuation_list current;
    // Data centres of an earlier era, which stay evacuated until these times
    // unless an entry of the present era is removed: the store may have lost
    // entries that the operators have yet to write again.
    std::map<data_centre_id, time_point> retained;
};

// How long an evacuation of an earlier era stays in force.
constexpr duration evacuation_retention = 15s;

// Applies a whole list of the store's entries under `prefix`, as of a revision.
void apply_evacuation_entries(
    evacuation_state& state, std::string_view prefix,
    std::span<const platform_entry> entries, std::uint64_t era,
    std::uint64_t revision, time_point now);

// Applies changes of the store. Entries outside of `prefix` are ignored.
void apply_evacuation_changes(
    evacuation_state& state, std::string_view prefix,
    std::span<const platform_entry> changes, std::uint64_t era, time_point now);

// Applies the list of a member if it is newer.
void merge_evacuations(
    evacuation_state& state, const evacuation_list& received, time_point now);

// All data centres that are evacuated now, sorted.
[[nodiscard]] std::vector<data_centre_id>
evacuated_data_centres(evacuation_state& state, time_point now);

} // namespace cyclamenhold
