#include "core/configuration/model.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

void check_regions(
    const configuration& current, const std::vector<std::string>& regions,
    const std::string& place, findings& found)
{
    for (const auto& region : regions)
    {
        const bool is_known = std::ranges::any_of(
            current.data_centres,
            [&region](const data_centre& entry)
            {
                return entry.region == region;
            });
        if (!is_known)
        {
            add_finding(found, place, "no data centre is in region " + region);
        }
    }
}

} // namespace

findings find_unknown_regions(const configuration& current)
{
    findings found;
    for (const auto& entry : current.routes)
    {
        check_regions(current, entry.regions, "route " + entry.name, found);
    }
    for (const auto& entry : current.workspaces)
    {
        check_regions(current, entry.regions, "workspace " + entry.name, found);
    }
    return found;
}

} // namespace cyclamenhold
