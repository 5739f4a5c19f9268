#include "core/rates/roster.hpp"

#include <algorithm>

#include <boost/json.hpp>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;

std::optional<roster_member> parse_member(const json::value& value)
{
    const auto* const fields = value.if_array();
    if (fields == nullptr || fields->size() != 3 || !fields->at(0).is_string())
    {
        return std::nullopt;
    }
    const auto& text = fields->at(0).get_string();
    const auto host = parse_host_id(std::string_view(text.data(), text.size()));
    boost::system::error_code error;
    const auto added = fields->at(1).to_number<incarnation>(error);
    if (!host || error.failed())
    {
        return std::nullopt;
    }
    const auto joined = fields->at(2).to_number<std::uint64_t>(error);
    if (error.failed())
    {
        return std::nullopt;
    }
    return roster_member{*host, added, joined};
}

} // namespace

const roster_member* find_member(const roster& hosts, host_id host)
{
    const auto found =
        std::ranges::lower_bound(hosts.members, host, {}, &roster_member::host);
    if (found == hosts.members.end() || found->host != host)
    {
        return nullptr;
    }
    return &*found;
}

std::string serialize_roster(const roster& hosts)
{
    json::array members;
    for (const auto& [host, added, joined] : hosts.members)
    {
        members.push_back(json::array{to_string(host), added, joined});
    }
    return json::serialize(json::object{
        {"index", hosts.index},
        {"removed_lately", hosts.removed_lately},
        {"members", std::move(members)}});
}

std::optional<roster>
parse_roster(std::string_view text, std::uint64_t platform_version)
{
    boost::system::error_code error;
    const json::value value =
        json::parse(json::string_view(text.data(), text.size()), error);
    const json::object* const fields = value.if_object();
    if (error.failed() || fields == nullptr)
    {
        return std::nullopt;
    }
    const json::value* const index = fields->if_contains("index");
    const json::value* const members = fields->if_contains("members");
    const json::value* const removed = fields->if_contains("removed_lately");
    if (index == nullptr || removed == nullptr || members == nullptr ||
        !members->is_array())
    {
        return std::nullopt;
    }
    roster hosts;
    hosts.platform_version = platform_version;
    hosts.index = index->to_number<std::uint64_t>(error);
    if (error.failed())
    {
        return std::nullopt;
    }
    hosts.removed_lately = removed->to_number<std::uint32_t>(error);
    if (error.failed())
    {
        return std::nullopt;
    }
    for (const auto& entry : members->get_array())
    {
        const auto parsed = parse_member(entry);
        if (!parsed)
        {
            return std::nullopt;
        }
        hosts.members.push_back(*parsed);
    }
    std::ranges::sort(hosts.members, {}, &roster_member::host);
    return hosts;
}

std::string roster_key(data_centre_id data_centre)
{
    return "roster/" + std::to_string(static_cast<std::uint32_t>(data_centre));
}

roster
with_members(const roster& hosts, const std::vector<roster_member>& added)
{
    roster next = hosts;
    ++next.index;
    for (roster_member member : added)
    {
        if (!contains(hosts, member.host))
        {
            member.joined = next.index;
            next.members.push_back(member);
        }
    }
    std::ranges::sort(next.members, {}, &roster_member::host);
    return next;
}

roster
without_member(const roster& hosts, host_id removed, bool others_removed_lately)
{
    roster next = hosts;
    ++next.index;
    next.removed_lately = others_removed_lately ? hosts.removed_lately + 1 : 1;
    std::erase_if(
        next.members,
        [removed](const roster_member& member)
        {
            return member.host == removed;
        });
    return next;
}

} // namespace cyclamenhold
