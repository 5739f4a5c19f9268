#include "core/quarantine/quarantine_gossip.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

constexpr std::uint8_t max_hops = 8;
// Each host that receives a new message sends it to this many members.
constexpr std::size_t fan_out = 6;

void send_to_random_members(
    const membership_state& members, const quarantine_message& message,
    random_source& random, control_actions& actions)
{
    if (message.hops == 0)
    {
        return;
    }
    const auto payload = encode_quarantine(message);
    for (const host_id host : random_members(members, fan_out, random))
    {
        actions.messages.push_back(
            {host, message_kind::quarantine, transport::stream, payload});
    }
}

} // namespace

std::vector<host_id> random_members(
    const membership_state& members, std::size_t count, random_source& random)
{
    std::vector<host_id> alive;
    for (const auto& [host, entry] : members.members)
    {
        if (entry.state == member_state::alive)
        {
            alive.push_back(host);
        }
    }
    std::shuffle(alive.begin(), alive.end(), random);
    alive.resize(std::min(alive.size(), count));
    return alive;
}

void send_to(
    host_id to, const quarantine_message& message, control_actions& actions)
{
    actions.messages.push_back(
        {to, message_kind::quarantine, transport::stream,
         encode_quarantine(message)});
}

void start_gossip(
    const membership_state& members, quarantine_message& message,
    random_source& random, control_actions& actions)
{
    message.hops = max_hops;
    send_to_random_members(members, message, random, actions);
}

void forward_gossip(
    const membership_state& members, quarantine_message& message,
    random_source& random, control_actions& actions)
{
    message.hops = std::min(message.hops, max_hops);
    message.hops -= message.hops > 0 ? 1 : 0;
    send_to_random_members(members, message, random, actions);
}

} // namespace cyclamenhold
