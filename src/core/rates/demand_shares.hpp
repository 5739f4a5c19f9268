// Demand-proportional shares: each host reports its callers' demand to all
// others and uses the part of every rate that its demand is of all demand. In a
// network partition, each side uses only the part of the rate that its hosts
// are of all hosts, so that the sides together stay within the rate.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"

#include <map>

namespace cyclamenhold
{

struct rates_context;
struct rates_state;

// Requests a second, by workspace.
using demand_by_workspace = std::map<workspace_id, double>;

// The last demand report of another host.
struct peer_demand
{
    time_point received_at{};
    demand_by_workspace per_second;
};

struct demand_share_state
{
    demand_by_workspace own;
    // Own demand as last reported to the others. Shares are computed from it,
    // so that all hosts use the same values and their shares add up to one.
    demand_by_workspace reported;
    std::map<host_id, peer_demand> peers;
    time_point started_at{};
    time_point sampled_at{};
    time_point next_report_at{};
};

// Interval of demand reports to each other host.
constexpr duration demand_report_interval = 500ms;
// A host without a report for this time (six reports in a row are lost) may be
// serving callers on the other side of a network partition.
constexpr duration demand_report_timeout = 3s;
// A member in the state `dead` for this time is considered to serve no callers.
constexpr duration dead_host_timeout = 20s;
// The part of each rate that a starting host uses for the first `startup_time`,
// while it has no report of another host.
constexpr double startup_share = 0.125;
constexpr duration startup_time = 2s;

// Demands in requests a second.
struct share_inputs
{
    double own_demand = 0.0;
    // Of the other hosts with a recent report.
    double other_demand = 0.0;
    // Both counts include this host.
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

// Samples and reports this host's demand and sets the limiter's allowances.
void tick_demand_shares(rates_context& context);
// When tick_demand_shares is due next.
[[nodiscard]] time_point demand_shares_due(const rates_state& state);

} // namespace cyclamenhold
