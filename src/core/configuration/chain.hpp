// The chain of accepted configuration changes: read from the platform by a few
// watchers, learned from peers by all others, applied in order and only
// forward. Runs on the control thread only.
#pragma once

#include "core/base/findings.hpp"
#include "core/base/random.hpp"
#include "core/configuration/model.hpp"
#include "core/membership/membership.hpp"
#include "ports/control_actions.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenhold
{

// Names a commit that the intent API asked for.
using commit_token = std::uint64_t;

enum class commit_status : std::uint8_t
{
    // In the chain at `revision`.
    committed,
    // Another change took the revision; `detail` says which.
    conflict,
    // The platform did not answer; the change may still appear. Asking again
    // with the same operation id is safe.
    unknown,
    // The change does not fit the present configuration.
    invalid
};

struct commit_result
{
    commit_token token = 0;
    commit_status status = commit_status::unknown;
    std::uint64_t revision = 0;
    std::string detail;
};

struct chain_settings
{
    host_id self = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
};

// One accepted change.
struct chain_change
{
    std::uint64_t revision = 0;
    std::string operation_id;
    // The hash of the chain up to the change before; ties a change to its
    // predecessors, so that a chain cannot fork unseen.
    std::uint64_t previous = 0;
    // The JSON text of the operations.
    std::string operations;
    bool operator==(const chain_change&) const = default;
};

// What an outstanding platform call is for.
enum class chain_call_kind : std::uint8_t
{
    read_change,
    watch,
    read_snapshot_head,
    read_snapshot_part,
    check_snapshot_head,
    write_snapshot_part,
    write_snapshot_head,
    find_obsolete,
    delete_obsolete,
    commit_check,
    commit_write
};

struct chain_call
{
    chain_call_kind kind = chain_call_kind::read_change;
    // Of commit calls; of read_snapshot_part, the part.
    commit_token token = 0;
    // When a call that was never answered is given up.
    time_point expires_at{};
};

enum class commit_step : std::uint8_t
{
    // Reads changes until the base revision is in force here.
    catching_up,
    // Makes sure that the base is still in the platform's chain.
    checking,
    writing,
    // Others have gone on from the base: reads what took the revision.
    resolving
};

struct pending_commit
{
    chain_change change;
    commit_step step = commit_step::catching_up;
    bool in_flight = false;
    // A write was sent, so that the change may be in the chain.
    bool maybe_written = false;
    time_point deadline{};
    time_point retry_at{};
    std::uint32_t failures = 0;
};

// Where the snapshot of a configuration is found in the platform.
struct snapshot_head
{
    std::uint64_t revision = 0;
    std::uint64_t chain = 0;
    std::uint32_t parts = 0;
};

// A snapshot on its way in, from the platform or from a peer.
struct incoming_snapshot
{
    snapshot_head head;
    host_id from = host_id::none;
    std::vector<std::string> parts;
};

// A snapshot on its way to the platform.
struct outgoing_snapshot
{
    snapshot_head head;
    std::vector<std::string> parts;
    std::uint32_t next_part = 0;
    snapshot_head present;
    std::uint64_t present_version = 0;
};

// The platform as the members that watch it for their data centre use it.
struct chain_watch
{
    bool is_watcher = false;
    time_point next_watcher_check_at{};
    bool reading = false;
    time_point next_read_at{};
    bool watching = false;
    time_point next_watch_at{};
    std::uint32_t failures = 0;
    // The platform's revision up to which no change is missing here.
    std::uint64_t platform_revision = 0;
    // The snapshot is looked for in one cycle of reads out of several.
    std::uint32_t read_cycles = 0;
    bool is_platform_available = true;
    std::optional<incoming_snapshot> snapshot;
};

// The maintenance of snapshots in the platform.
struct snapshot_maintenance
{
    std::uint64_t snapshot_revision = 0;
    time_point next_snapshot_at{};
    bool busy = false;
    std::optional<outgoing_snapshot> snapshot;
    // Keys that are no longer needed.
    std::vector<std::string> obsolete;
};

struct chain_pull
{
    host_id from = host_id::none;
    time_point expires_at{};
};

struct chain_state
{
    chain_settings settings;
    // When `current` came into force.
    time_point applied_at{};
    // When this node itself last learned from the platform that it has the
    // newest revision; the zero point when never.
    time_point platform_read_at{};
    // Never null; revision 0 is the empty configuration.
    std::shared_ptr<const configuration> current =
        std::make_shared<const configuration>();
    // Finished commits, to be taken by the caller.
    std::vector<commit_result> results;

    // What follows is used by the configuration code only.
    // The hash of the chain up to `current`.
    std::uint64_t chain_hash = 0;
    // The newest changes, for peers that are a little behind.
    std::deque<chain_change> recent;
    // The last revision that could not be applied.
    std::uint64_t rejected_revision = 0;
    chain_watch watch;
    snapshot_maintenance maintenance;
    std::optional<chain_pull> pull;
    std::optional<incoming_snapshot> peer_snapshot;
    std::map<commit_token, pending_commit> commits;
    std::map<std::uint64_t, chain_call> calls;
    std::uint64_t next_call = 1;
    // A revision that has not yet been told to peers.
    std::uint64_t advertised_revision = 0;
    time_point last_tick{};
};

void chain_start(
    chain_state& state, const chain_settings& settings, time_point now,
    random_source& random, control_actions& actions);
void chain_tick(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions);
void chain_on_message(
    chain_state& state, const membership_state& members,
    const incoming_message& message, time_point now, random_source& random,
    control_actions& actions);
void chain_on_platform_reply(
    chain_state& state, const membership_state& members,
    const platform_reply& reply, time_point now, random_source& random,
    control_actions& actions);
[[nodiscard]] time_point chain_due(const chain_state& state);

// Appends a change, given as the JSON text of its operations
// (src/core/intent), after `base_revision`. `operation_id` makes it idempotent.
// The result appears in `state.results`.
void chain_commit(
    chain_state& state, commit_token token, std::uint64_t base_revision,
    const std::string& operation_id, const std::string& operations,
    time_point now, random_source& random, control_actions& actions);

// Hands the revision in force, and when the platform was read, to the
// membership, which tells them to others with each message.
void publish_to_membership(const chain_state& state, membership_state& members);

} // namespace cyclamenhold
