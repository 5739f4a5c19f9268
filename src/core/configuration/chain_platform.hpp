// The chain in the platform: the watchers of each data centre read it and
// maintain its snapshots.
#pragma once

#include "core/configuration/chain_apply.hpp"

namespace cyclamenhold
{

// Appends a platform call; `purpose` determines how its reply is handled.
platform_call& add_chain_call(
    chain_state& state, platform_client client, platform_operation operation,
    const chain_call& purpose, control_actions& actions);

// Jittered exponential backoff before the next attempt.
[[nodiscard]] duration
chain_backoff(std::uint32_t failures, random_source& random);

void start_watch(chain_state& state, time_point now, random_source& random);

// Starts the reads and the watch that are due, if this node is a watcher.
void tick_watch(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions);
[[nodiscard]] time_point watch_due(const chain_state& state);

void handle_watch_reply(
    chain_state& state, const chain_call& call, const platform_reply& reply,
    time_point now, random_source& random, control_actions& actions);

// Writes a snapshot after every `changes_between_snapshots` changes, and
// deletes the parts and changes that it makes obsolete.
void tick_snapshot_maintenance(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions);
void handle_maintenance_reply(
    chain_state& state, const chain_call& call, const platform_reply& reply,
    time_point now, random_source& random, control_actions& actions);

constexpr std::uint64_t changes_between_snapshots = 64;
// Changes that stay in the platform before the last snapshot. A commit whose
// base is at most this many changes behind is still given the conflicting
// change.
constexpr std::uint64_t changes_kept = 256;

} // namespace cyclamenhold
