// Which nodes watch the document in the platform. In a data centre of more than
// a few hosts two of them watch it, and the others receive changes and proofs
// of freshness through a tree of members: each node pings its parent, whose
// answer has the age of the parent's newest proof, and a node with a newer
// version notifies its children at once. A node without a recent proof calls
// the platform itself, so that no bound depends on the watchers.
#pragma once

#include "core/base/random.hpp"
#include "core/membership/membership.hpp"
#include "core/placement/evacuations.hpp"

#include <cstdint>
#include <vector>

namespace cyclamenhold
{

struct chain_state;

struct document_watchers
{
    // Without followers every node watches for itself.
    bool has_followers = false;
    bool is_watcher = true;
    host_id parent = host_id::none;
    std::vector<host_id> children;
    // member_targets::version of the last update.
    std::uint64_t targets_version = 0;
    time_point next_ping_at{};
    // The version and the evacuations last sent to the children.
    std::uint64_t told_revision = 0;
    evacuation_list told_evacuations;
};

// The number of hosts of a data centre up to which all of them watch.
constexpr std::size_t max_watching_hosts = 8;
// The nodes that watch in a larger one.
constexpr std::size_t watchers_per_data_centre = 2;
// A node without a proof that is newer than this calls the platform.
constexpr duration proof_patience = 1500ms;
// How long a watch of one of the watchers waits. The end of a watch is the
// proof that they pass on.
constexpr duration watcher_watch_time = 400ms;

// Recomputes the tree after a change of the members.
void update_watchers(
    document_watchers& watchers, const membership_state& members);

// Whether this node is to call the platform now. `behind_since`: when a member
// first reported a newer version; zero if none has.
[[nodiscard]] bool must_call_platform(
    const document_watchers& watchers, const chain_state& chain,
    const membership_state& members, time_point behind_since, time_point now);

// Pings the parent when that is due, and sends changes to the children.
void exchange_proofs(
    document_watchers& watchers, membership_state& members, time_point now,
    random_source& random, control_actions& actions);

// Records a proof of a member that the configuration of this node is the
// newest. It stays valid for that time when a newer version is reported later.
void record_proof(chain_state& chain, const membership_state& members);

} // namespace cyclamenhold
