// Pledges: each member lends its weight in a shard to one steward for one
// short term at a time.
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

// A member's side of one shard.
struct granted_weight_lease
{
    host_id holder = host_id::none;
    // The life of the receiver; a later one has to wait for the end.
    incarnation holder_incarnation = 0;
    std::uint64_t round = 0;
    // Counted by the giver, from its answer.
    time_point ends_at = time_point::min();
    std::uint64_t index = 0;
    // An earlier pledge under an older roster may be in force until then.
    std::uint64_t older_index = 0;
    time_point older_ends_at = time_point::min();
};

// A steward's side: one member's weight.
struct held_weight_lease
{
    std::uint32_t parts = 0;
    std::uint64_t index = 0;
    // Counted by the receiver, from its asking.
    time_point valid_until{};
};

// An lease's generation lasts so long.
constexpr duration claim_generation_time = 600s;

// The right to claim: held while more than half of the roster pledge.
struct steward_lease
{
    // 0 while not held.
    std::uint64_t epoch = 0;
    // Grows while the epoch lasts; tickets of the last two are known.
    std::uint64_t generation = 0;
    time_point since{};
    time_point generation_since{};
};

struct stewardship
{
    std::map<host_id, held_weight_lease> weight_leases;
    std::map<workspace_id, lender_bucket> buckets;
    steward_lease lease;
};

struct weight_lease_round
{
    std::uint64_t round = 0;
    time_point requested_at{};
};

// What a member last told a steward, for computing the floor.
struct member_report
{
    std::uint64_t confirmed = 0;
    time_point requested_at = time_point::min();
};

// The newest epoch observed of in a shard, and from whom.
struct observed_epoch
{
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;
    host_id steward = host_id::none;
};

struct weight_lease_state
{
    std::array<granted_weight_lease, shard_count> granted;
    std::array<stewardship, shard_count> held;
    std::array<observed_epoch, shard_count> observed;
    // The rendezvous winners of this host's view.
    std::array<host_id, shard_count> winners{};
    std::uint64_t winners_version = 0;
    std::uint64_t winners_index = 0;
    std::deque<weight_lease_round> rounds;
    std::uint64_t first_round = 0;
    std::uint64_t last_round = 0;
    time_point next_round_at{};
    std::map<host_id, member_report> reports;
};

// Elects winners, asks for weight_leases and keeps offices.
void tick_weight_leases(rates_context& context);

// The lowest roster index under which this host's weight is in use.
[[nodiscard]] std::uint64_t confirmed_index(const rates_context& context);

// This host has its own weight of the shard to itself.
[[nodiscard]] bool
has_unleased_weight(const rates_context& context, std::uint32_t shard);

// The part of the data centre's share pledged to this host until `until`.
[[nodiscard]] double held_weight(const stewardship& held, time_point until);

[[nodiscard]] bool is_lender(const stewardship& held, time_point now);

// Fills all buckets of a shard by the weights held so far.
void refill_shard(rates_context& context, std::uint32_t shard);

// The limits of a workspace's bucket at this steward.
[[nodiscard]] lending_limits limits_of(
    const rates_context& context, std::uint32_t shard, workspace_id workspace);

// More than half of the roster pledge the shard to this host now.
[[nodiscard]] bool
has_majority(const rates_state& state, std::uint32_t shard, time_point now);

// The lease of a shard, with epoch 0 unless it is held at this moment.
[[nodiscard]] steward_lease current_steward_lease(
    const rates_state& state, std::uint32_t shard, time_point now);

// Elects the steward of each shard in this host's view, when that changed.
void update_winners(rates_context& context);

void release_weight_leases(rates_context& context);

} // namespace cyclamenhold
