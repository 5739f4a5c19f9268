// The chain of accepted configuration changes. A few watchers in each data
// centre read it from the platform, all other nodes receive it from peers.
// Changes are applied in order; the revision never decreases. Runs on the
// control thread only.
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

// Identifies a commit requested through the intent API.
using commit_token = std::uint64_t;

enum class commit_status : std::uint8_t
{
    // The change is in the chain at `revision`.
    committed,
    // Another change has taken the revision; `detail` describes it.
    conflict,
    // The platform did not answer; the change may still appear in the chain.
    // It is safe to retry with the same operation id.
    unknown,
    // The change cannot be applied to the current configuration.
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

// One change in the chain.
struct chain_change
{
    std::uint64_t revision = 0;
    std::string operation_id;
    // The hash of the chain before this change. It covers all predecessors,
    // so that a fork of the chain is detected.
    std::uint64_t previous = 0;
    // The operations as JSON text.
    std::string operations;
    bool operator==(const chain_change&) const = default;
};

// The purpose of an outstanding platform call.
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
    // The commit, or the part number for read_snapshot_part.
    commit_token token = 0;
    // When a call without a reply is considered failed.
    time_point expires_at{};
};

enum class commit_step : std::uint8_t
{
    // Reads changes until this node has applied the base revision.
    catching_up,
    // Checks that the base is still stored in the platform.
    checking,
    writing,
    // The current revision is past the base: reads the change that took the
    // revision.
    resolving
};

struct pending_commit
{
    chain_change change;
    commit_step step = commit_step::catching_up;
    bool in_flight = false;
    // A write was sent; the change may be in the chain.
    bool maybe_written = false;
    time_point deadline{};
    time_point retry_at{};
    std::uint32_t failures = 0;
};

// Describes a snapshot whose parts are stored in the platform.
struct snapshot_head
{
    std::uint64_t revision = 0;
    std::uint64_t chain = 0;
    std::uint32_t parts = 0;
};

// A snapshot that is being received from the platform or from a peer.
struct incoming_snapshot
{
    snapshot_head head;
    host_id from = host_id::none;
    std::vector<std::string> parts;
};

// A snapshot that is being written to the platform.
struct outgoing_snapshot
{
    snapshot_head head;
    std::vector<std::string> parts;
    std::uint32_t next_part = 0;
    snapshot_head present;
    std::uint64_t present_version = 0;
};

// Reading and watching the chain in the platform, done by the watchers of a
// data centre.
struct chain_watch
{
    bool is_watcher = false;
    time_point next_watcher_check_at{};
    bool reading = false;
    time_point next_read_at{};
    bool watching = false;
    time_point next_watch_at{};
    std::uint32_t failures = 0;
    // The platform's revision up to which this node has seen all changes.
    std::uint64_t platform_revision = 0;
    // Cycles of reads so far; only some of them check for a newer snapshot.
    std::uint32_t read_cycles = 0;
    bool is_platform_available = true;
    std::optional<incoming_snapshot> snapshot;
};

// Writes snapshots to the platform and deletes what they replace.
struct snapshot_maintenance
{
    std::uint64_t snapshot_revision = 0;
    time_point next_snapshot_at{};
    bool busy = false;
    std::optional<outgoing_snapshot> snapshot;
    // Keys of the platform that are to be deleted.
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
    // When `current` was applied.
    time_point applied_at{};
    // When this node itself last read from the platform that it has the
    // newest revision; zero if never.
    time_point platform_read_at{};
    // Never null; revision 0 is the empty configuration.
    std::shared_ptr<const configuration> current =
        std::make_shared<const configuration>();
    // Finished commits; the caller removes them.
    std::vector<commit_result> results;

    // The fields below are private to the configuration code.
    // The hash of the chain up to `current`.
    std::uint64_t chain_hash = 0;
    // The newest changes, sent to peers that are a few revisions behind.
    std::deque<chain_change> recent;
    // The last revision that was rejected.
    std::uint64_t rejected_revision = 0;
    chain_watch watch;
    snapshot_maintenance maintenance;
    std::optional<chain_pull> pull;
    std::optional<incoming_snapshot> peer_snapshot;
    std::map<commit_token, pending_commit> commits;
    std::map<std::uint64_t, chain_call> calls;
    std::uint64_t next_call = 1;
    // The newest revision that was advertised to peers.
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

// Starts to append a change after `base_revision`. `operations` is the JSON
// text of its operations (src/core/intent); `operation_id` makes the commit
// idempotent. The result is added to `state.results`.
void chain_commit(
    chain_state& state, commit_token token, std::uint64_t base_revision,
    const std::string& operation_id, const std::string& operations,
    time_point now, random_source& random, control_actions& actions);

// Copies the current revision and the time of the last platform read to the
// membership, which advertises them to peers with each message.
void publish_to_membership(const chain_state& state, membership_state& members);

} // namespace cyclamenhold
