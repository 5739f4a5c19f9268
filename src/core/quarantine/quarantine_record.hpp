// The record of quarantined requests in the platform's store, which outlasts
// all nodes. Each node reads it when it starts and watches it afterwards.
#pragma once

#include "core/quarantine/quarantine.hpp"

namespace cyclamenhold
{

// Schedules the write of a request that has just been quarantined here.
// `is_reporter`: this node reported one of the crashes.
void record_later(
    quarantine_state& state, std::uint64_t digest, bool is_reporter,
    time_point now, random_source& random);

// Starts the calls that are due.
void tick_record(
    quarantine_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions);

void handle_record_reply(
    quarantine_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions);

// The platform has begun a new era: the record is listed again, and what it has
// lost is written again.
void restart_record(
    quarantine_state& state, time_point now, random_source& random);

[[nodiscard]] time_point record_due(const quarantine_record& record);

} // namespace cyclamenhold
