// Repairs what gossip missed: two members compare hashes over their tables and
// exchange the parts that differ. A node that joins does the same with an
// empty table.
#pragma once

#include "core/membership/membership_wire.hpp"

namespace cyclamenhold
{

// Asks a member, or an address, to compare.
void send_digest(
    membership_state& state, host_id to, bool is_reply, time_point now,
    control_actions& actions);

// Sends the members in all buckets that differ, and the own digest back unless
// the one received was already an answer.
void answer_digest(
    membership_state& state, host_id from, const membership_message& message,
    time_point now, control_actions& actions);

// Compares with a random member when due.
void tick_digests(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);

} // namespace cyclamenhold
