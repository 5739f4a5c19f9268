// Admission of root requests at the node where they enter, by what the fleet
// allots. Thread-safe.
#pragma once

#include "core/base/random.hpp"
#include "core/base/request_context.hpp"
#include "core/base/time.hpp"
#include "core/trees/tree_allotment.hpp"

#include <array>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace cyclamenhold
{

// Requests of one route and class here.
struct admission_row
{
    tree_allotment allotment;
    // Zero until the first allotment.
    time_point valid_until{};
    // Requests a second, smoothed: at present, and when the allotment arrived.
    double rate = 0.0;
    double allotted_rate = 0.0;
    time_point counted_at{};
    // Requests that may be admitted at once.
    double tokens = 0.0;
    time_point refilled_at{};
    // The recent requests by slot.
    std::array<float, admission_slot_count> slots{};
    float slot_sum = 0.0F;
};

struct tree_admission
{
    bool is_enabled = false;
    std::mutex mutex;
    std::map<tree_key, admission_row> rows;
};

enum class tree_verdict : std::uint8_t
{
    // Nothing is allotted to the route, or not recently.
    unknown,
    admitted,
    refused
};

// An allotment is used for this time where hosts report at the shortest
// interval.
constexpr duration allotment_term = 1500ms;

void set_allotment(
    tree_admission& admission, const tree_key& key,
    const tree_allotment& allotment, time_point now,
    duration term = allotment_term);

// Decides on a root request. Lower slots go first, so that workspaces share
// what is admitted evenly; see draw_slot.
[[nodiscard]] tree_verdict admit_tree(
    tree_admission& admission, const tree_key& key, std::uint16_t slot,
    time_point now, random_source& random);

// Forgets the routes that the configuration does not have.
void forget_other_routes(
    tree_admission& admission, const std::set<route_id>& configured);

// The values that decide, for logs.
[[nodiscard]] std::string
describe_admission(tree_admission& admission, const tree_key& key);

} // namespace cyclamenhold
