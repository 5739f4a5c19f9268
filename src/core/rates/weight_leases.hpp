// Weight leases: each roster member leases its weight in a shard to one
// steward, for one term at a time. A steward that holds the leases of more
// than half of the roster also holds the steward lease of the shard.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/rates/lending.hpp"
#include "core/rates/shards.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>

namespace cyclamenhold
{

struct rates_context;
struct rates_state;

// The lease of this host's own weight in one shard, as its grantor.
struct granted_weight_lease
{
    host_id holder = host_id::none;
    // A later incarnation of the holder gets no lease before this one ends.
    incarnation holder_incarnation = 0;
    std::uint64_t round = 0;
    // By the grantor's clock, counted from its reply.
    time_point ends_at = time_point::min();
    // The roster index under which the lease was granted.
    std::uint64_t index = 0;
    // An earlier lease, granted under an older roster, may be in force until
    // `older_ends_at`.
    std::uint64_t older_index = 0;
    time_point older_ends_at = time_point::min();
};

// The lease of one member's weight, as its holder.
struct held_weight_lease
{
    // The weight is one part in this many of the data centre's share.
    std::uint32_t parts = 0;
    std::uint64_t index = 0;
    // By the holder's clock, counted from its request.
    time_point valid_until{};
};

// Length of one generation of a steward lease.
constexpr duration claim_generation_time = 600s;

// The right to grant claims in a shard. Valid while this host holds the weight
// leases of more than half of the roster.
struct steward_lease
{
    // 0 while not held.
    std::uint64_t epoch = 0;
    // Increases by one every claim_generation_time within an epoch. Tickets of
    // the current and the previous generation are valid.
    std::uint64_t generation = 0;
    time_point since{};
    time_point generation_since{};
};

// What this host holds as the steward of one shard.
struct stewardship
{
    std::map<host_id, held_weight_lease> weight_leases;
    std::map<workspace_id, lender_bucket> buckets;
    steward_lease lease;
};

// One round of weight lease requests.
struct weight_lease_round
{
    std::uint64_t round = 0;
    time_point requested_at{};
};

// A member's last report to a steward; input to the roster's floor.
struct member_report
{
    // The lowest roster index under which the member's weight is in use.
    std::uint64_t confirmed = 0;
    time_point requested_at = time_point::min();
};

// The newest epoch seen in a shard and its steward.
struct observed_epoch
{
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;
    // `none` when the epoch was reported by a host other than the steward.
    host_id steward = host_id::none;
};

struct weight_lease_state
{
    // Each array has one entry a shard.
    std::array<granted_weight_lease, shard_count> granted;
    std::array<stewardship, shard_count> held;
    std::array<observed_epoch, shard_count> observed;
    // Rendezvous winner of each shard among the alive members in this host's
    // view.
    std::array<host_id, shard_count> winners{};
    // Versions of the members and the roster that `winners` was computed from.
    std::uint64_t winners_version = 0;
    std::uint64_t winners_index = 0;
    std::deque<weight_lease_round> rounds;
    // Rounds of this incarnation; the first number is random.
    std::uint64_t first_round = 0;
    std::uint64_t last_round = 0;
    time_point next_round_at{};
    std::map<host_id, member_report> reports;
};

// Updates the winners, expires and requests weight leases, and updates the
// steward leases.
void tick_weight_leases(rates_context& context);

// The lowest roster index under which this host's weight is in use.
[[nodiscard]] std::uint64_t confirmed_index(const rates_context& context);

// True when this host is active and its weight in the shard is not leased out.
[[nodiscard]] bool
has_unleased_weight(const rates_context& context, std::uint32_t shard);

// The part of the data centre's share whose leases this host holds beyond
// `until`; in [0, 1].
[[nodiscard]] double held_weight(const stewardship& held, time_point until);

// True when this host holds any weight lease of the shard.
[[nodiscard]] bool is_lender(const stewardship& held, time_point now);

// Refills all buckets of a shard at the rate of the leases held until now.
// Call before a lease is added or dropped.
void refill_shard(rates_context& context, std::uint32_t shard);

// The limits of a workspace's bucket at this steward; all zero for a workspace
// that is not in the configuration.
[[nodiscard]] lending_limits limits_of(
    const rates_context& context, std::uint32_t shard, workspace_id workspace);

// True when this host holds the leases of more than half of the roster.
[[nodiscard]] bool
has_majority(const rates_state& state, std::uint32_t shard, time_point now);

// The steward lease of a shard; epoch 0 when this host does not hold it now.
[[nodiscard]] steward_lease current_steward_lease(
    const rates_state& state, std::uint32_t shard, time_point now);

// Recomputes the rendezvous winner of each shard when the members or the roster
// have changed.
void update_winners(rates_context& context);

// Releases the weight leases of all shards in which no loan is outstanding.
void release_weight_leases(rates_context& context);

} // namespace cyclamenhold
