// Demand-proportional shares: the hosts that hold a token pool of a workspace
// report the demand there to each other, and each uses the part of the rate
// that its demand is of all demand.
//
// The shares of holders that receive each other's reports add up to at most
// one, whatever messages are lost: a holder divides by the newest demands that
// it has received, and counts its own demand only as far as every other holder
// has confirmed it. Example: A reports 30 after 10 and has no answer yet, so
// that B counts one of them. A divides 10 by the sum; if B counts 30, the
// shares add up to less than one. A share ends before others stop counting it.
// After that, each side of a network partition uses the part of the rate that
// its hosts are of all hosts.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/rates/pool_hosts.hpp"
#include "core/rates/rate_limiter.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>

namespace cyclamenhold
{

struct rates_context;
struct rates_state;

// Requests a second, by workspace.
using demand_by_workspace = std::map<workspace_id, double>;

// Requests a second, by shard and workspace.
using demand_by_shard = std::array<demand_by_workspace, shard_count>;

// Own demand as reported for some time. The ids of its reports begin with
// `first_report`.
struct reported_version
{
    std::uint64_t first_report = 0;
    time_point reported_at{};
    demand_by_shard per_second;
};

// The reports between this host and another pool host in one shard.
struct peer_shard
{
    // The newest message, and when it arrived.
    std::uint64_t last_report = 0;
    time_point received_at{};
    // The demand in it.
    demand_by_workspace per_second;
    // When own demand was last sent, and how often since it last changed.
    time_point sent_at{};
    std::uint32_t sent_count = 0;
    // When the newest own demand that the host has confirmed was first
    // reported.
    time_point confirmed_at{};
    // The least own demand that the host may count at present: that of the last
    // report it has confirmed, or of a later one.
    demand_by_workspace confirmed;
};

struct peer_demand
{
    std::array<peer_shard, shard_count> shards;
    // The hosts that it knows.
    std::size_t hosts_known = 0;
};

struct demand_share_state
{
    // Demand at the pools of this host.
    demand_by_workspace own;
    // Own demand as reported to the others, the present one last. Versions that
    // nobody counts any more are dropped.
    std::deque<reported_version> reported;
    std::map<host_id, peer_demand> peers;
    // The shards whose pools this host held at the last tick, and in its last
    // report, one bit a shard.
    std::uint32_t held = 0;
    std::uint32_t reported_shards = 0;
    // Since when this host holds the pools, by shard.
    std::array<time_point, shard_count> held_since{};
    std::uint64_t last_report = 0;
    // This host's role in each shard.
    std::array<allowance_role, shard_count> roles{};
    // When admissions outside pools are recorded next.
    time_point next_record_at{};
    time_point started_at{};
    time_point sampled_at{};
    time_point next_report_at{};
};

// Interval of demand reports to the other pool hosts of a shard.
constexpr duration demand_report_interval = 500ms;
// A report without an answer is sent again after this time, and after twice as
// long each further time.
constexpr duration demand_report_retry = 100ms;
// A holder uses a share for this time after it sent the last report that
// another holder has answered.
constexpr duration confirmation_term = 1500ms;
// Allowances end this time after they were set, so that a host that was paused
// does not use them.
constexpr duration allowance_term = 500ms;
// The demand of a pool host that sends no message for this time is not counted.
// It uses its share no longer.
constexpr duration demand_report_timeout = confirmation_term + allowance_term;
// Hosts without a pool use no more than what is reserved for them for this
// time, in which the holders detect that they cannot be reached.
constexpr duration pool_detection_time = 3s;
// A host that has started holds no pool for this time, in which it meets the
// others.
constexpr duration startup_time = 2s;

// Demands in requests a second.
struct share_inputs
{
    double own_demand = 0.0;
    // Of the other pool hosts with a recent report.
    double other_demand = 0.0;
    // Hosts of the data centres of which a pool host has confirmed a report,
    // and all hosts. Both counts include this host.
    std::size_t hosts_reporting = 1;
    std::size_t hosts_known = 1;
};
// The part of a rate that a host may use, in [0, 1].
[[nodiscard]] double demand_share(const share_inputs& inputs);

// Samples and reports the demand at this host's pools and sets the limiter's
// allowances.
void tick_demand_shares(rates_context& context);
// Begins to hold the pool of a shard. Its allowances are zero until the other
// holders have confirmed that they know of it.
void start_pool(rates_context& context, std::uint32_t shard);
// When tick_demand_shares is due next.
[[nodiscard]] time_point demand_shares_due(const rates_state& state);

} // namespace cyclamenhold
