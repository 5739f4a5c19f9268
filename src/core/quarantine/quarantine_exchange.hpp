// The exchange of quarantine tables between members. A node that starts, or
// that was cut off when requests were quarantined, receives no further report
// of them and copies the table of a member instead.
#pragma once

#include "core/quarantine/quarantine.hpp"
#include "core/quarantine/quarantine_messages.hpp"

namespace cyclamenhold
{

// Requests tables when that is due.
void tick_exchange(
    quarantine_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions);

void answer_table_request(
    const quarantine_state& state, host_id from,
    const quarantine_message& request, time_point now,
    control_actions& actions);

// Adds what the copy of a member's table has in addition to the own one.
void merge_table(
    quarantine_state& state, const quarantine_message& copy, time_point now,
    random_source& random, control_actions& actions);

} // namespace cyclamenhold
