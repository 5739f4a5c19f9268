// Joining: a few members of each data centre keep a leased entry in the
// platform. A node without known members lists these entries, in addition to
// the seed addresses in its settings. Rendezvous hashing selects the members
// with an entry, so the load on the platform does not grow with the fleet.
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

// Forgets the lease and the entry, which the platform has lost, and writes them
// again soon.
void restart_seeds(
    membership_state& state, time_point now, random_source& random);

// Revokes the lease of this node's entry at once.
void revoke_seed_entry(membership_state& state, control_actions& actions);

} // namespace cyclamenhold
