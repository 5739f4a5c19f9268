#include "time_line_text.hpp"

#include "adapters/json_text.hpp"

#include <array>
#include <cstdio>
#include <map>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;

using host_names = std::map<host_id, std::string>;

host_names names_of(const std::vector<node_events>& nodes)
{
    host_names names;
    for (const auto& node : nodes)
    {
        if (!node.missing)
        {
            names[node.page.host] = printable(node.page.name);
        }
    }
    return names;
}

std::string name_or_address(const host_names& names, host_id host)
{
    const auto found = names.find(host);
    return found == names.end() ? to_string(host) : found->second;
}

std::string line_text(
    const event_record& record, std::uint64_t first_ms, const host_names& names)
{
    const event& what = record.what;
    std::array<char, 160> start{};
    const std::uint64_t wall_ms = wall_ms_of(record.time);
    const double elapsed_s = static_cast<double>(wall_ms - first_ms) / 1000.0;
    std::snprintf(
        start.data(), start.size(), "%s %+9.3f  %-20s %-22s",
        format_utc(wall_ms).c_str(), elapsed_s,
        name_or_address(names, record.host).c_str(),
        std::string(name_of(what.kind)).c_str());
    std::string text = start.data();
    if (what.peer != host_id::none)
    {
        text += " peer=" + name_or_address(names, what.peer);
    }
    if (what.trace != trace_id{})
    {
        text += " trace=" + to_string(what.trace);
    }
    if (!what.detail.empty())
    {
        text += "  " + printable(what.detail);
    }
    return text + '\n';
}

} // namespace

std::string time_line_text(
    const std::vector<event_record>& line,
    const std::vector<node_events>& nodes)
{
    if (line.empty())
    {
        return "no events\n";
    }
    const auto names = names_of(nodes);
    const std::uint64_t first_ms = wall_ms_of(line.front().time);
    std::string text;
    for (const auto& record : line)
    {
        text += line_text(record, first_ms, names);
    }
    return text;
}

std::string time_line_json(
    const std::vector<event_record>& line,
    const std::vector<node_events>& nodes)
{
    json::array events;
    events.reserve(line.size());
    for (const auto& record : line)
    {
        events.push_back(to_json(record));
    }
    json::array sources;
    for (const auto& node : nodes)
    {
        json::object source;
        source["node"] = to_string(node.node);
        source["answered"] = !node.missing;
        source["name"] = node.page.name;
        source["overwritten"] = node.page.overwritten;
        if (!node.problem.empty())
        {
            source["problem"] = node.problem;
        }
        sources.push_back(std::move(source));
    }
    json::object object;
    object["events"] = std::move(events);
    object["nodes"] = std::move(sources);
    return json::serialize(object) + '\n';
}

} // namespace cyclamenhold
