#include "core/placement/evacuations.hpp"

#include <algorithm>
#include <tuple>

namespace cyclamenhold
{
namespace
{

data_centre_id
data_centre_of(const platform_entry& entry, std::string_view prefix)
{
    const std::string_view key = entry.key;
    return key.starts_with(prefix) && key.size() > prefix.size()
               ? data_centre_id_of(key.substr(prefix.size()))
               : data_centre_id::none;
}

// Replaces the list. Those of an earlier era that it lacks are retained; those
// of the same era were removed, in the present one.
void replace_list(evacuation_state& state, evacuation_list next, time_point now)
{
    const bool is_new_era =
        next.era > state.current.era && state.current.revision != 0;
    for (const auto data_centre : state.current.data_centres)
    {
        if (is_new_era)
        {
            state.retained[data_centre] = now + evacuation_retention;
        }
        else if (!std::ranges::binary_search(next.data_centres, data_centre))
        {
            state.retained.erase(data_centre);
        }
    }
    state.current = std::move(next);
}

void insert_sorted(std::vector<data_centre_id>& list, data_centre_id id)
{
    const auto place = std::ranges::lower_bound(list, id);
    const bool is_listed = place != list.end() && *place == id;
    if (!is_listed && list.size() < max_evacuated)
    {
        list.insert(place, id);
    }
}

} // namespace

bool is_newer(const evacuation_list& left, const evacuation_list& right)
{
    return std::tie(left.era, left.revision) >
           std::tie(right.era, right.revision);
}

void apply_evacuation_entries(
    evacuation_state& state, std::string_view prefix,
    std::span<const platform_entry> entries, std::uint64_t era,
    std::uint64_t revision, time_point now)
{
    evacuation_list next{era, revision, {}};
    for (const auto& entry : entries)
    {
        const auto data_centre = data_centre_of(entry, prefix);
        if (data_centre != data_centre_id::none && !entry.removed)
        {
            insert_sorted(next.data_centres, data_centre);
        }
    }
    if (is_newer(next, state.current))
    {
        replace_list(state, std::move(next), now);
    }
}

void apply_evacuation_changes(
    evacuation_state& state, std::string_view prefix,
    std::span<const platform_entry> changes, std::uint64_t era, time_point now)
{
    for (const auto& change : changes)
    {
        const auto data_centre = data_centre_of(change, prefix);
        evacuation_list next = state.current;
        next.era = era;
        next.revision = change.version;
        // Changes of one transaction have the same revision.
        if (data_centre == data_centre_id::none ||
            is_newer(state.current, next))
        {
            continue;
        }
        if (change.removed)
        {
            std::erase(next.data_centres, data_centre);
            state.retained.erase(data_centre);
        }
        else
        {
            insert_sorted(next.data_centres, data_centre);
        }
        replace_list(state, std::move(next), now);
    }
}

void merge_evacuations(
    evacuation_state& state, const evacuation_list& received, time_point now)
{
    if (is_newer(received, state.current))
    {
        replace_list(state, received, now);
    }
}

std::vector<data_centre_id>
evacuated_data_centres(evacuation_state& state, time_point now)
{
    std::erase_if(
        state.retained,
        [now](const auto& entry)
        {
            return entry.second <= now;
        });
    std::vector<data_centre_id> evacuated = state.current.data_centres;
    for (const auto& [data_centre, until] : state.retained)
    {
        insert_sorted(evacuated, data_centre);
    }
    return evacuated;
}

} // namespace cyclamenhold
