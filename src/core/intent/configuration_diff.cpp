#include "core/intent/operations.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace cyclamenhold
{
namespace
{

std::string text_of(double number)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.15g", number);
    return text.data();
}

std::string describe_regions(const std::vector<std::string>& regions)
{
    std::string text;
    for (const auto& region : regions)
    {
        text += text.empty() ? ", only in " : " and ";
        text += region;
    }
    return text;
}

std::string describe(const workspace& value)
{
    return "workspace " + value.name + ": rate " + text_of(value.rate) +
           ", burst " + text_of(value.burst) + describe_regions(value.regions);
}

std::string describe(const workspace_key& value)
{
    return "key " + value.id + " of workspace " + value.workspace +
           (value.withdrawn ? ": withdrawn" : ": valid");
}

std::string describe(const route& value)
{
    std::string text = "route " + value.name + ": ";
    text += value.method.empty() ? "any method" : value.method;
    text += " " + value.path_prefix + " to service " + value.service + ", ";
    text += name_of(value.priority);
    text += value.open ? ", open" : "";
    text += value.never_repeat ? ", never repeat" : "";
    text += ", retry allowance " + std::to_string(value.retry_allowance);
    text += ", deadline " + std::to_string(value.deadline.count()) + " ms";
    text += describe_regions(value.regions);
    return text;
}

std::string describe(const data_centre& value)
{
    return "data centre " + value.name + ": region " + value.region +
           ", weight " + text_of(value.weight);
}

const std::string& sort_key(const workspace_key& value)
{
    return value.id;
}

template <class Value>
const std::string& sort_key(const Value& value)
{
    return value.name;
}

// Both lists must be sorted by `sort_key`.
template <class Value>
void compare_lists(
    const std::vector<Value>& before, const std::vector<Value>& after,
    std::vector<std::string>& lines)
{
    auto old_place = before.begin();
    auto new_place = after.begin();
    while (old_place != before.end() || new_place != after.end())
    {
        const bool only_old = new_place == after.end() ||
                              (old_place != before.end() &&
                               sort_key(*old_place) < sort_key(*new_place));
        if (only_old)
        {
            lines.push_back("- " + describe(*old_place++));
            continue;
        }
        const bool only_new = old_place == before.end() ||
                              sort_key(*new_place) < sort_key(*old_place);
        if (only_new)
        {
            lines.push_back("+ " + describe(*new_place++));
            continue;
        }
        if (!(*old_place == *new_place))
        {
            lines.push_back("- " + describe(*old_place));
            lines.push_back("+ " + describe(*new_place));
        }
        ++old_place;
        ++new_place;
    }
}

} // namespace

std::vector<std::string>
diff_lines(const configuration& before, const configuration& after)
{
    std::vector<std::string> lines;
    compare_lists(before.workspaces, after.workspaces, lines);
    compare_lists(before.keys, after.keys, lines);
    compare_lists(before.routes, after.routes, lines);
    compare_lists(before.data_centres, after.data_centres, lines);
    return lines;
}

std::vector<std::string>
newly_withdrawn_keys(const configuration& before, const configuration& after)
{
    std::vector<std::string> withdrawn;
    auto place = before.keys.begin();
    for (const auto& key : after.keys)
    {
        place = std::lower_bound(
            place, before.keys.end(), key.id,
            [](const workspace_key& value, const std::string& id)
            {
                return value.id < id;
            });
        const bool was_withdrawn = place != before.keys.end() &&
                                   place->id == key.id && place->withdrawn;
        if (key.withdrawn && !was_withdrawn)
        {
            withdrawn.push_back(key.id);
        }
    }
    return withdrawn;
}

} // namespace cyclamenhold
