// Failure detection: one member of the data centre is probed at a time, others
// are asked to probe it when it does not answer, and it is suspected when that
// fails too. Members of other data centres are probed only to know whether
// their data centre can be reached; their own neighbours judge them.
#pragma once

#include "core/membership/membership.hpp"

namespace cyclamenhold
{

// Does what is due of the probes.
void tick_probes(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);

// When tick_probes is due next.
[[nodiscard]] time_point probes_due(const membership_state& state);

void answer_ping(
    membership_state& state, host_id from, std::uint64_t sequence,
    time_point now, control_actions& actions);
void relay_ping(
    membership_state& state, host_id origin, std::uint64_t sequence,
    host_id target, time_point now, control_actions& actions);
void handle_ack(
    membership_state& state, std::uint64_t sequence, time_point now,
    control_actions& actions);

} // namespace cyclamenhold
