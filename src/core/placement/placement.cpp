#include "core/placement/placement.hpp"

#include <algorithm>
#include <iterator>

namespace cyclamenhold
{

region_limit limit_to(const std::vector<std::string>& names)
{
    region_limit limit;
    limit.is_limited = !names.empty();
    for (const auto& name : names)
    {
        limit.regions.push_back(region_id_of(name));
    }
    std::ranges::sort(limit.regions);
    return limit;
}

region_limit both(const region_limit& left, const region_limit& right)
{
    if (!left.is_limited)
    {
        return right;
    }
    if (!right.is_limited)
    {
        return left;
    }
    region_limit limit{true, {}};
    std::ranges::set_intersection(
        left.regions, right.regions, std::back_inserter(limit.regions));
    return limit;
}

bool is_evacuated(const placement_view& view, data_centre_id data_centre)
{
    return std::ranges::binary_search(view.evacuated, data_centre);
}

bool may_run_in(
    const placement_view& view, const region_limit& limit,
    data_centre_id data_centre)
{
    if (is_evacuated(view, data_centre))
    {
        return false;
    }
    if (!limit.is_limited)
    {
        return true;
    }
    const auto region = view.regions.find(data_centre);
    return region != view.regions.end() &&
           std::ranges::binary_search(limit.regions, region->second);
}

} // namespace cyclamenhold
