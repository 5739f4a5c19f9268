// Spreads quarantine messages over the fleet.
#pragma once

#include "core/quarantine/quarantine_messages.hpp"

namespace cyclamenhold
{

// Up to `count` members in state alive, in random order.
[[nodiscard]] std::vector<host_id> random_members(
    const membership_state& members, std::size_t count, random_source& random);

void send_to(
    host_id to, const quarantine_message& message, control_actions& actions);

// Sends a new message to random members, which forward it.
void start_gossip(
    const membership_state& members, quarantine_message& message,
    random_source& random, control_actions& actions);

// Sends a received message on to random members, for a limited number of hops.
void forward_gossip(
    const membership_state& members, quarantine_message& message,
    random_source& random, control_actions& actions);

} // namespace cyclamenhold
