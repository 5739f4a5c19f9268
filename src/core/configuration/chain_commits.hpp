// Appends changes to the chain. A change is written under the key of the next
// revision, by a compare-and-swap that expects no value. After a lost reply the
// write is repeated: the key then holds this change, which is recognised by its
// operation id, or another one.
#pragma once

#include "core/configuration/chain_apply.hpp"

namespace cyclamenhold
{

void start_commit(
    chain_state& state, commit_token token, const chain_change& change,
    time_point now, control_actions& actions);
void tick_commits(chain_state& state, time_point now, control_actions& actions);
[[nodiscard]] time_point commits_due(const chain_state& state);
void handle_commit_reply(
    chain_state& state, const chain_call& call, const platform_reply& reply,
    time_point now, random_source& random, control_actions& actions);

} // namespace cyclamenhold
