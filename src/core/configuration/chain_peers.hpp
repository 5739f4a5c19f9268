// Spreads the chain among peers: a node advertises each revision that it
// applies to a few peers, and pulls missing changes from a peer that is ahead.
#pragma once

#include "core/configuration/chain_apply.hpp"

namespace cyclamenhold
{

// Sends the current revision to a few peers, once per revision.
void advertise_revision(
    chain_state& state, const membership_state& members, random_source& random,
    control_actions& actions);

// Pulls from a peer if one has reported a newer revision.
void pull_if_behind(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions);

void handle_chain_message(
    chain_state& state, const membership_state& members, host_id from,
    const chain_message& message, time_point now, random_source& random,
    control_actions& actions);

} // namespace cyclamenhold
