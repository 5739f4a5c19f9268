// Messages on their way out: who is asked, and which news ride along.
#pragma once

#include "core/membership/membership_wire.hpp"

namespace cyclamenhold
{

// Bytes of news that fit into a datagram beside the rest of a message.
constexpr std::size_t max_updates_size = 850;

// A message of this node without news.
[[nodiscard]] membership_message make_message(
    const membership_state& state, wire::membership::message_body kind,
    time_point now);

// What is known of one member, or of this node itself.
[[nodiscard]] std::optional<member_update>
make_update(const membership_state& state, host_id host);

// Adds what a member should hear about itself, if it is held to be anything but
// alive, so that it can refute it.
void add_report_to_refute(const member& known, membership_message& message);

// Adds as many news as fit, those told least often first, and sends.
void send_with_updates(
    membership_state& state, host_id to, membership_message message,
    control_actions& actions);

void send_message(
    host_id to, const membership_message& message, transport via,
    control_actions& actions);

// One of the hosts, or none.
[[nodiscard]] host_id
pick_host(const std::vector<host_id>& hosts, random_source& random);

// A random member of a random other data centre, or none.
[[nodiscard]] host_id
pick_remote_host(const membership_state& state, random_source& random);

// Sends news to a few random members, near and far.
void gossip_round(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);

// Sends news at once to some members here and to two of each data centre.
void push_updates(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);

} // namespace cyclamenhold
