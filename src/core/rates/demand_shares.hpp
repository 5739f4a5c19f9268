// Demand-proportional shares: each host tells all others what callers ask of
// it, and takes the part of every rate that its demand has of all demand. A
// side that is cut off from others keeps only the part of the rate that its
// hosts are of all hosts, so that the sides together stay inside the rate.
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

struct peer_demand
{
    time_point received_at{};
    demand_by_workspace per_second;
};

struct demand_share_state
{
    demand_by_workspace own;
    // What the others were reported last. Shares go by this, so that all hosts
    // divide by the same figures and their shares add up to one.
    demand_by_workspace reported;
    std::map<host_id, peer_demand> peers;
    time_point started_at{};
    time_point sampled_at{};
    time_point next_report_at{};
};

// Reports between two hosts come this often.
constexpr duration demand_report_interval = 500ms;
// A host not heard from for so long may serve callers on another side of a
// cut: six reports in a row were lost.
constexpr duration demand_report_timeout = 3s;
// A host that is held to be dead for so long serves nobody.
constexpr duration dead_host_timeout = 20s;
// What a host that knows of no other may use of each rate until it has had
// time to hear of them.
constexpr double startup_share = 0.125;
constexpr duration startup_time = 2s;

// The part of a rate that a host may use.
struct share_inputs
{
    double own_demand = 0.0;
    // Of the other hosts that were heard lately.
    double other_demand = 0.0;
    std::size_t hosts_reporting = 1;
    std::size_t hosts_known = 1;
};
[[nodiscard]] double demand_share(const share_inputs& inputs);

// Tokens a second and at most, such that no window sees more than rate x
// window + burst, and the part of the tolerance that is given to the depth of
// the buckets. Shallow buckets of many hosts would refuse callers who come
// inside the rate but in no even rhythm.
struct spread_rate
{
    double per_second = 0.0;
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

void tick_demand_shares(rates_context& context);
[[nodiscard]] time_point demand_shares_due(const rates_state& state);

} // namespace cyclamenhold
