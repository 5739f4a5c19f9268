// Where requests may run: not in data centres that operators evacuate, and only
// in the regions to which their route and their workspace are limited.
#pragma once

#include "core/base/ids.hpp"

#include <map>
#include <string>
#include <vector>

namespace cyclamenhold
{

// The regions to which requests are limited. Without a limit they may run
// anywhere; a limit to no region lets them run nowhere.
struct region_limit
{
    bool is_limited = false;
    // Sorted.
    std::vector<region_id> regions;
    bool operator==(const region_limit&) const = default;
};

// The limit to the named regions; none if there are no names.
[[nodiscard]] region_limit limit_to(const std::vector<std::string>& names);

// The regions that both limits allow.
[[nodiscard]] region_limit
both(const region_limit& left, const region_limit& right);

// What is known of the data centres. Immutable; part of the routing view.
struct placement_view
{
    // Sorted.
    std::vector<data_centre_id> evacuated;
    std::map<data_centre_id, region_id> regions;
};

[[nodiscard]] bool
is_evacuated(const placement_view& view, data_centre_id data_centre);

// Whether requests with this limit may be sent to the data centre. One of
// unknown region is in none.
[[nodiscard]] bool may_run_in(
    const placement_view& view, const region_limit& limit,
    data_centre_id data_centre);

} // namespace cyclamenhold
