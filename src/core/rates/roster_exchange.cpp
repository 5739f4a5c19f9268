#include "core/rates/lease_terms.hpp"
#include "core/rates/rates_context.hpp"
#include "core/rates/roster_maintenance.hpp"

#include <algorithm>
#include <functional>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

wire_rates::roster_image_data encode_roster(const roster& hosts)
{
    wire_rates::roster_image_data image;
    image.index = hosts.index;
    image.platform_version = hosts.platform_version;
    image.removed_lately = hosts.removed_lately;
    for (const auto& [host, added, joined] : hosts.members)
    {
        auto member = std::make_unique<wire_rates::roster_member_data>();
        member->host = to_wire(host);
        member->incarnation = added;
        member->joined = joined;
        image.members.push_back(std::move(member));
    }
    return image;
}

roster decode_roster(const wire_rates::roster_image_data& image)
{
    roster hosts;
    hosts.index = image.index;
    hosts.platform_version = image.platform_version;
    hosts.removed_lately = image.removed_lately;
    for (const auto& member : image.members)
    {
        hosts.members.push_back(
            {static_cast<host_id>(member->host), member->incarnation,
             member->joined});
    }
    std::ranges::sort(hosts.members, {}, &roster_member::host);
    return hosts;
}

} // namespace

void on_roster_query(
    rates_context& context, host_id from,
    const wire_rates::roster_query_data& in)
{
    const roster_state& hosts = context.state.hosts;
    wire_rates::roster_answer_data answer;
    answer.query = in.query;
    answer.index = hosts.known.index;
    answer.active = is_active(context) && contains(hosts.known, from) &&
                    !hosts.refused.contains(from);
    answer.floor = hosts.floor;
    if (in.index < hosts.known.index)
    {
        answer.roster = std::make_unique<wire_rates::roster_image_data>(
            encode_roster(hosts.known));
    }
    send_rates_message(context, from, std::move(answer));
}

void on_roster_answer(
    rates_context& context, host_id from,
    const wire_rates::roster_answer_data& in)
{
    roster_state& hosts = context.state.hosts;
    if (in.roster)
    {
        adopt_roster(context, decode_roster(*in.roster));
    }
    hosts.floor = std::max(hosts.floor, in.floor);
    if (in.active && in.query == hosts.query)
    {
        hosts.contacts[from] = hosts.queried_at;
    }
}

} // namespace cyclamenhold
