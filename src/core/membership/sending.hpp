// Outgoing messages: their targets, and the gossip updates added to them.
#pragma once

#include "core/membership/membership_wire.hpp"

namespace cyclamenhold
{

// Bytes of updates that fit into a datagram with the rest of a message.
constexpr std::size_t max_updates_size = 850;

// Returns a message of this node without updates. Only an ack reports contacts:
// their ages are of use only to a receiver that can bound the time of sending.
[[nodiscard]] membership_message make_message(
    const membership_state& state, wire::membership::message_body kind,
    time_point now);

// Returns an update with all fields about a member or this node, or nothing for
// an unknown host.
[[nodiscard]] std::optional<member_update>
make_update(const membership_state& state, host_id host);

// Adds this node's report of the receiver if its state is not alive, so that
// the receiver can refute it.
void add_report_to_refute(const member& known, membership_message& message);

// Sends a message with as many queued updates as fit, those with the fewest
// transmissions first.
void send_with_updates(
    membership_state& state, host_id to, membership_message message,
    control_actions& actions);

void send_message(
    host_id to, const membership_message& message, transport via,
    control_actions& actions);

// Returns a random one of the hosts, or none.
[[nodiscard]] host_id
pick_host(const std::vector<host_id>& hosts, random_source& random);

// Returns a random member of a random other data centre, or none.
[[nodiscard]] host_id
pick_remote_host(const membership_state& state, random_source& random);

// Sends updates to a few random members of this and other data centres.
void gossip_round(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);

// Sends updates at once to random members of this data centre and to two
// members of each other one.
void push_updates(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);

} // namespace cyclamenhold
