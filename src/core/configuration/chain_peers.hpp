// The chain among peers: a node tells a few others of each revision that it
// takes into force, and pulls what it lacks from one that has it.
#pragma once

#include "core/configuration/chain_apply.hpp"

namespace cyclamenhold
{

// Tells a few peers of the revision in force, if that was not done yet.
void advertise_revision(
    chain_state& state, const membership_state& members, random_source& random,
    control_actions& actions);

// Pulls from a peer when one is known to be ahead.
void pull_if_behind(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions);

void handle_chain_message(
    chain_state& state, const membership_state& members, host_id from,
    const chain_message& message, time_point now, random_source& random,
    control_actions& actions);

} // namespace cyclamenhold
