// Joining: a few members of each data centre keep a leased entry in the
// platform, and whoever knows nobody looks there, besides the addresses from
// the settings. Which members those are follows from rendezvous hashing, so
// the platform is used alike in a fleet of any size.
#pragma once

#include "core/membership/membership.hpp"

namespace cyclamenhold
{

void start_seeds(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);
void tick_seeds(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);
void handle_seed_reply(
    membership_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions);

// Gives up the entry at once.
void revoke_seed_entry(membership_state& state, control_actions& actions);

} // namespace cyclamenhold
