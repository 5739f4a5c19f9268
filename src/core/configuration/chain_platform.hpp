// The chain in the platform, as the chosen members of each data centre read
// it and keep its snapshots.
#pragma once

#include "core/configuration/chain_apply.hpp"

namespace cyclamenhold
{

// Appends a call; its kind tells what to do with the reply.
platform_call& add_chain_call(
    chain_state& state, platform_client client, platform_operation operation,
    const chain_call& purpose, control_actions& actions);

// A pause before the next attempt, doubled with each failure and jittered.
[[nodiscard]] duration
chain_backoff(std::uint32_t failures, random_source& random);

void start_watch(chain_state& state, time_point now, random_source& random);

// Reads and watches what is due, if this node is one of those that do.
void tick_watch(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions);
[[nodiscard]] time_point watch_due(const chain_state& state);

void handle_watch_reply(
    chain_state& state, const chain_call& call, const platform_reply& reply,
    time_point now, random_source& random, control_actions& actions);

// Writes a snapshot when enough changes have come since the last, and deletes
// what it makes obsolete.
void tick_snapshot_maintenance(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions);
void handle_maintenance_reply(
    chain_state& state, const chain_call& call, const platform_reply& reply,
    time_point now, random_source& random, control_actions& actions);

constexpr std::uint64_t changes_between_snapshots = 64;
// Changes kept in the platform behind the last snapshot. A commit may come
// this much later than its base, and still finds that it was overtaken.
constexpr std::uint64_t changes_kept = 256;

} // namespace cyclamenhold
