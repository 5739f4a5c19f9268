// Anti-entropy: two members compare digests (hashes per bucket of members) of
// their tables and exchange the buckets that differ. This repairs updates that
// gossip did not deliver. A joining node starts with an empty table.
#pragma once

#include "core/membership/membership_wire.hpp"

namespace cyclamenhold
{

// Sends this node's digest to a member or a seed address, which replies with
// the records that differ.
void send_digest(
    membership_state& state, host_id to, bool is_reply, time_point now,
    control_actions& actions);

// Sends the member records of all buckets that differ from the received digest.
// Also sends this node's digest unless the received one is a reply.
void answer_digest(
    membership_state& state, host_id from, const membership_message& message,
    time_point now, control_actions& actions);

// The time until the next exchange.
[[nodiscard]] duration next_digest_delay(
    const membership_state& state, time_point now, random_source& random);

// Sends a digest to a random member when the interval has elapsed.
void tick_digests(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);

} // namespace cyclamenhold
