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

struct rates_step;
struct rates_state;

// A member's side of one shard.
struct given_pledge
{
    host_id to = host_id::none;
    // The life of the receiver; a later one has to wait for the end.
    incarnation to_life = 0;
    std::uint64_t round = 0;
    // Counted by the giver, from its answer.
    time_point ends_at = time_point::min();
    std::uint64_t index = 0;
    // An earlier pledge under an older roster may be in force until then.
    std::uint64_t older_index = 0;
    time_point older_ends_at = time_point::min();
};

// A steward's side: one member's weight.
struct held_pledge
{
    std::uint32_t parts = 0;
    std::uint64_t index = 0;
    // Counted by the receiver, from its asking.
    time_point valid_until{};
};

// An office's generation lasts so long.
constexpr duration claim_generation_time = 600s;

// The right to claim: held while more than half of the roster pledge.
struct steward_office
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
    std::map<host_id, held_pledge> pledges;
    std::map<workspace_id, lender_bucket> buckets;
    steward_office office;
};

struct pledge_round
{
    std::uint64_t round = 0;
    time_point asked_at{};
};

// What a member last told a steward, for computing the floor.
struct member_report
{
    std::uint64_t confirmed = 0;
    time_point asked_at = time_point::min();
};

// The newest epoch heard of in a shard, and from whom.
struct heard_epoch
{
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;
    host_id steward = host_id::none;
};

struct pledge_state
{
    std::array<given_pledge, shard_count> given;
    std::array<stewardship, shard_count> held;
    std::array<heard_epoch, shard_count> heard;
    // The rendezvous winners of this host's view.
    std::array<host_id, shard_count> winners{};
    std::uint64_t winners_version = 0;
    std::uint64_t winners_index = 0;
    std::deque<pledge_round> rounds;
    std::uint64_t first_round = 0;
    std::uint64_t last_round = 0;
    time_point next_round_at{};
    std::map<host_id, member_report> reports;
};

// Elects winners, asks for pledges and keeps offices.
void keep_pledges(rates_step& step);

// The lowest roster index under which this host's weight is in use.
[[nodiscard]] std::uint64_t confirmed_index(const rates_step& step);

// This host has its own weight of the shard to itself.
[[nodiscard]] bool
holds_own_weight(const rates_step& step, std::uint32_t shard);

// The part of the data centre's share pledged to this host until `until`.
[[nodiscard]] double held_weight(const stewardship& held, time_point until);

[[nodiscard]] bool is_lender(const stewardship& held, time_point now);

// Fills all buckets of a shard by the weights held so far.
void refill_shard(rates_step& step, std::uint32_t shard);

// The limits of a workspace's bucket at this steward.
[[nodiscard]] lending_limits
limits_of(const rates_step& step, std::uint32_t shard, workspace_id workspace);

// More than half of the roster pledge the shard to this host now.
[[nodiscard]] bool
has_majority(const rates_state& state, std::uint32_t shard, time_point now);

// The office of a shard, with epoch 0 unless it is held at this moment.
[[nodiscard]] steward_office
office_of(const rates_state& state, std::uint32_t shard, time_point now);

// Elects the steward of each shard in this host's view, when that changed.
void elect_winners(rates_step& step);

void release_pledges(rates_step& step);

} // namespace cyclamenhold
