// Failure detection: this node probes one member of its data centre at a time.
// If the member does not answer, other members are requested to probe it, and
// if that fails too, it is suspected. Probes to other data centres only test
// whether the data centre is reachable; failures of its members are detected
// inside it.
#pragma once

#include "core/membership/membership.hpp"

namespace cyclamenhold
{

// Starts, escalates and ends the probes that are due.
void tick_probes(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);

// Returns when tick_probes is due next.
[[nodiscard]] time_point probes_due(const membership_state& state);

// Sends a ping whose ack merges what the target knows.
void send_ping(
    membership_state& state, host_id target, std::uint64_t sequence,
    time_point now, control_actions& actions);
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
