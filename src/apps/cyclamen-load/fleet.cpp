#include "fleet.hpp"

#include "adapters/json_server.hpp"
#include "experiment/member_reader.hpp"

namespace cyclamenhold
{
using boost::asio::ip::tcp;

std::optional<tcp::endpoint> parse_loopback_endpoint(
    const std::string& text, const std::string& place, findings& found)
{
    const auto endpoint = parse_endpoint(text);
    if (!endpoint.ok())
    {
        add_finding(found, place, std::string(endpoint.status().message()));
        return std::nullopt;
    }
    if (!endpoint->address().is_loopback())
    {
        add_finding(found, place, text + ": is not a loopback address");
        return std::nullopt;
    }
    return *endpoint;
}

namespace
{

target_group
read_group(member_reader& reader, const std::string& place, findings& found)
{
    target_group group;
    group.path_prefix = reader.text("path_prefix");
    std::size_t index = 0;
    for (const std::string& text : reader.texts("targets"))
    {
        const auto endpoint = parse_loopback_endpoint(
            text, place + "/targets/" + std::to_string(index++), found);
        if (endpoint)
        {
            group.targets.push_back(*endpoint);
        }
    }
    if (index == 0)
    {
        reader.add("targets", "must not be empty");
    }
    reader.reject_unknown();
    return group;
}

void read_groups(member_reader& reader, fleet& processes, findings& found)
{
    std::size_t index = 0;
    for (member_reader& item : reader.objects("groups"))
    {
        const std::string place = "/groups/" + std::to_string(index++);
        processes.groups.push_back(read_group(item, place, found));
    }
    if (index == 0)
    {
        reader.add("groups", "must not be empty");
    }
}

void read_upstreams(member_reader& reader, fleet& processes, findings& found)
{
    std::size_t index = 0;
    for (member_reader& item : reader.objects("upstreams"))
    {
        fleet_upstream upstream;
        upstream.service = item.required_text("service");
        upstream.data_centre = item.text("data_centre");
        const auto control = parse_loopback_endpoint(
            item.required_text("control"),
            "/upstreams/" + std::to_string(index++) + "/control", found);
        item.reject_unknown();
        if (control)
        {
            upstream.control = *control;
            processes.upstreams.push_back(std::move(upstream));
        }
    }
}

void read_keys(member_reader& reader, fleet& processes, findings& found)
{
    const auto keys =
        parse_json_with_comments(reader.object_text("keys"), found);
    if (!keys)
    {
        return;
    }
    for (const auto& [name, key] : keys->get_object())
    {
        const std::string workspace(name.data(), name.size());
        if (!key.is_string())
        {
            add_finding(found, "/keys/" + workspace, "must be a string");
            continue;
        }
        processes.keys[workspace] = std::string(key.get_string().c_str());
    }
}

} // namespace

fleet parse_fleet(std::string_view text, findings& found)
{
    fleet processes;
    const auto value = parse_json_with_comments(text, found);
    if (!value)
    {
        return processes;
    }
    member_reader reader(*value, "", found);
    read_groups(reader, processes, found);
    read_upstreams(reader, processes, found);
    read_keys(reader, processes, found);
    const std::string platform = reader.text("platform");
    if (!platform.empty())
    {
        processes.platform =
            parse_loopback_endpoint(platform, "/platform", found);
    }
    reader.reject_unknown();
    return processes;
}

} // namespace cyclamenhold
