// Demand-proportional shares: the hosts that hold a token pool of a workspace
// report the demand there to each other, and each uses the part of the rate
// that its demand is of all demand. In a network partition, each side uses only
// the part of the rate that its hosts are of all hosts, so that the sides
// together stay within the rate.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/rates/pool_hosts.hpp"
#include "core/rates/rate_limiter.hpp"

#include <array>
#include <map>

namespace cyclamenhold
{

struct rates_context;
struct rates_state;

// Requests a second, by workspace.
using demand_by_workspace = std::map<workspace_id, double>;

// The last demand report of another pool host.
struct peer_demand
{
    // By shard.
    std::array<time_point, shard_count> received_at{};
    demand_by_workspace per_second;
};

struct demand_share_state
{
    // Demand at the pools of this host.
    demand_by_workspace own;
    // Own demand as last reported to the others. Shares are computed from it,
    // so that all hosts use the same values and their shares add up to one.
    demand_by_workspace reported;
    std::map<host_id, peer_demand> peers;
    // The shards whose pools this host held at the last tick, one bit a shard.
    std::uint32_t held = 0;
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
// A pool host without a report for this time (six reports in a row are lost)
// may be on the other side of a network partition, with its data centre.
constexpr duration demand_report_timeout = 3s;
// The part of each rate that a starting host uses for the first `startup_time`,
// while the membership has no other host.
constexpr double startup_share = 0.125;
constexpr duration startup_time = 2s;

// Demands in requests a second.
struct share_inputs
{
    double own_demand = 0.0;
    // Of the other pool hosts with a recent report.
    double other_demand = 0.0;
    // Hosts of the data centres of which a pool host has reported, and all
    // hosts. Both counts include this host.
    std::size_t hosts_reporting = 1;
    std::size_t hosts_known = 1;
};
// The part of a rate that a host may use, in [0, 1].
[[nodiscard]] double demand_share(const share_inputs& inputs);

// Refill rate and capacity of the buckets of all hosts together. No window
// admits more than rate x window + burst, plus a part of the tolerance. That
// part goes into the capacity: shallow buckets at many hosts would refuse
// callers who stay within the rate but arrive irregularly.
struct spread_rate
{
    // Tokens a second.
    double per_second = 0.0;
    // Tokens.
    double capacity = 0.0;
};
struct rate_tolerance
{
    // See rates_settings.
    duration window{};
    double overage = 0.0;
    double slack = 0.0;
};
[[nodiscard]] spread_rate
spread_burst(double rate, double burst, const rate_tolerance& tolerance);

// Samples and reports the demand at this host's pools and sets the limiter's
// allowances.
void tick_demand_shares(rates_context& context);
// Sets the allowances of a shard whose pool this host has begun to hold. Takes
// over the demand that another pool host of this data centre has reported.
void start_pool(rates_context& context, std::uint32_t shard);
// When tick_demand_shares is due next.
[[nodiscard]] time_point demand_shares_due(const rates_state& state);

} // namespace cyclamenhold
