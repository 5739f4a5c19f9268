#include "core/rates/demand_shares.hpp"

#include "core/rates/demand_reports.hpp"
#include "core/rates/rates_context.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

// Bounds of the time that a demand sample is averaged over. It is short for
// many arrivals, and long for few, whose number in a second varies at random.
constexpr duration min_averaging_time = 1s;
constexpr duration max_averaging_time = 4s;
// Arrivals in one averaging time; the relative error of 16 random arrivals is
// about a quarter.
constexpr double averaged_arrivals = 16.0;
constexpr duration sample_interval = 100ms;
// Demand assumed in each data centre, as a fraction of the rate, by its part of
// all hosts, so that a data centre without recent callers can serve the next
// one at once.
constexpr double assumed_demand = 0.15;

// Seconds, for a demand in requests a second.
double averaging_time(double demand)
{
    return std::clamp(
        averaged_arrivals / std::max(demand, 1e-3),
        to_seconds(min_averaging_time), to_seconds(max_averaging_time));
}

void sample_own_demand(rates_context& context)
{
    demand_share_state& demand = context.state.demand;
    auto& arrivals = context.state.pools.pool_arrivals;
    const double elapsed = to_seconds(context.now - demand.sampled_at);
    demand.sampled_at = context.now;
    std::erase_if(
        demand.own,
        [&context](const auto& entry)
        {
            return !context.state.workspaces.contains(entry.first) ||
                   !holds_pool(context, shard_of(entry.first));
        });
    for (const auto& [id, workspace] : context.state.workspaces)
    {
        if (!holds_pool(context, shard_of(id)))
        {
            continue;
        }
        double& own_demand = demand.own[id];
        const double decay = std::exp(-elapsed / averaging_time(own_demand));
        own_demand = decay * own_demand +
                     (1.0 - decay) * arrivals[id] / std::max(elapsed, 1e-3);
    }
    arrivals.clear();
}

// Takes over the demand that another host of this data centre has reported for
// a pool that this host has begun to hold.
void take_over_demand(rates_context& context, std::uint32_t shards)
{
    demand_share_state& demand = context.state.demand;
    const auto& members = context.inputs.members.members;
    for (auto& [host, peer] : demand.peers)
    {
        const auto found = members.find(host);
        if (found == members.end() ||
            found->second.data_centre != context.state.settings.data_centre)
        {
            continue;
        }
        for (auto& [id, per_second] : peer.per_second)
        {
            if ((shards >> shard_of(id) & 1U) != 0)
            {
                double& own = demand.own[id];
                own = std::max(own, std::exchange(per_second, 0.0));
                demand.reported[id] = own;
            }
        }
    }
}

// The share of a pool that this host holds.
double share_of_pool(
    const rates_context& context, workspace_id id, const workspace& settings,
    const reported_demand& others)
{
    const demand_share_state& demand = context.state.demand;
    const pool_hosts& hosts = context.state.pools.hosts;
    const bool is_starting_alone =
        context.now - demand.started_at < startup_time && hosts.known == 1;
    if (is_starting_alone)
    {
        return startup_share;
    }
    const std::size_t known = std::max(others.hosts, hosts.known);
    const double assumed_by_host =
        assumed_demand * settings.rate / static_cast<double>(known);
    const bool is_first =
        is_first_pool_host(hosts, context.state.settings.self, shard_of(id));
    const auto reported = demand.reported.find(id);
    const auto other = others.per_second.find(id);
    const double own_demand =
        (reported == demand.reported.end() ? 0.0 : reported->second) +
        (is_first ? assumed_by_host * static_cast<double>(others.local_hosts)
                  : 0.0);
    const double other_demand =
        (other == others.per_second.end() ? 0.0 : other->second) +
        assumed_by_host *
            static_cast<double>(others.hosts - others.local_hosts);
    return demand_share({own_demand, other_demand, others.hosts, known});
}

// The share of a host that cannot reach a pool. The pools stop using it once
// they detect that the host is gone.
double share_without_pool(const rates_context& context, duration silence)
{
    constexpr double share_before_detection = 0.5;
    return (silence < demand_report_timeout ? share_before_detection : 1.0) /
           static_cast<double>(context.state.pools.hosts.known);
}

allowance_role role_in(const rates_context& context, std::uint32_t shard)
{
    if (holds_pool(context, shard))
    {
        return allowance_role::holder;
    }
    return silence_of_pools(context, shard) ? allowance_role::cut_off
                                            : allowance_role::pooled;
}

// Records each change of this host's role in a shard.
void update_roles(rates_context& context)
{
    demand_share_state& demand = context.state.demand;
    const pool_hosts& hosts = context.state.pools.hosts;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        const allowance_role role = role_in(context, shard);
        if (demand.roles[shard] == role)
        {
            continue;
        }
        const std::size_t reached = collect_reports(context, shard).hosts;
        context.actions.events.push_back(
            {event_kind::rate_role_changed,
             {},
             {},
             host_id::none,
             absl::StrFormat(
                 "shard %d: %s, before %s; %d of %d hosts reached", shard,
                 name_of(role), name_of(demand.roles[shard]), reached,
                 hosts.known)});
        demand.roles[shard] = role;
    }
}

// Records the admissions by tokens of this host's own, while other hosts hold
// the pools.
void record_admissions_outside_pool(rates_context& context)
{
    constexpr duration record_interval = 1s;
    demand_share_state& demand = context.state.demand;
    if (context.now < demand.next_record_at)
    {
        return;
    }
    demand.next_record_at = context.now + record_interval;
    for (const auto& admissions :
         take_admissions_outside_pool(context.inputs.limiter))
    {
        const auto found = context.state.workspaces.find(admissions.workspace);
        context.actions.events.push_back(
            {event_kind::tokens_outside_pool,
             {},
             admissions.workspace,
             host_id::none,
             absl::StrFormat(
                 "workspace %s, shard %d: %d admitted, role %s",
                 found == context.state.workspaces.end() ? ""
                                                         : found->second.name,
                 shard_of(admissions.workspace), admissions.count,
                 name_of(admissions.role))});
    }
}

void set_shares(rates_context& context)
{
    update_roles(context);
    std::array<std::optional<reported_demand>, shard_count> collected;
    for (const auto& [id, workspace] : context.state.workspaces)
    {
        const std::uint32_t shard = shard_of(id);
        double share = 0.0;
        const allowance_role role = context.state.demand.roles[shard];
        if (role == allowance_role::holder)
        {
            if (!collected[shard])
            {
                collected[shard] = collect_reports(context, shard);
            }
            share = share_of_pool(context, id, workspace, *collected[shard]);
        }
        else if (const auto silence = silence_of_pools(context, shard))
        {
            share = share_without_pool(context, *silence);
        }
        const auto [per_second, capacity] = spread_burst(
            workspace.rate, workspace.burst,
            {context.state.settings.window, context.state.settings.overage,
             context.state.settings.slack});
        // A bucket with a capacity below one token would never admit a request.
        // That of a host without a pool holds returned tokens. A share ends
        // with the reports that it was computed from, so that a host that was
        // paused does not use it.
        set_own_allowance(
            context.inputs.limiter, id,
            {share * per_second, std::max(1.0, share * capacity),
             context.now + demand_report_timeout, role},
            context.now);
    }
}

} // namespace

double demand_share(const share_inputs& inputs)
{
    const double reachable_part = static_cast<double>(inputs.hosts_reporting) /
                                  static_cast<double>(inputs.hosts_known);
    const double all = inputs.own_demand + inputs.other_demand;
    return all <= 0.0
               ? reachable_part / static_cast<double>(inputs.hosts_reporting)
               : reachable_part * inputs.own_demand / all;
}

spread_rate
spread_burst(double rate, double burst, const rate_tolerance& tolerance)
{
    if (tolerance.window <= duration::zero())
    {
        return {rate, burst};
    }
    // The part of the burst that goes into the refill rate over the window; the
    // rest goes into the capacity.
    constexpr double steady_part = 0.75;
    // The parts of the tolerance that go into the capacity. The rest is left
    // for demand that moves between hosts before their reports arrive.
    constexpr double overage_part = 0.6;
    constexpr double slack_part = 0.9;
    const double seconds = to_seconds(tolerance.window);
    const double allowed_error =
        overage_part * tolerance.overage * (rate * seconds + burst) +
        slack_part * tolerance.slack;
    return {
        rate + steady_part * burst / seconds,
        (1.0 - steady_part) * burst + allowed_error};
}

void tick_demand_shares(rates_context& context)
{
    demand_share_state& demand = context.state.demand;
    if (demand.started_at == time_point{})
    {
        demand.started_at = context.now;
        demand.sampled_at = context.now;
    }
    if (context.now - demand.sampled_at < sample_interval)
    {
        return;
    }
    update_pool_hosts(
        context.state.pools.hosts,
        {context.state.settings.self, context.state.settings.data_centre,
         context.state.leaving},
        context.inputs.members, context.now);
    drop_departed_peers(context);
    const std::uint32_t held = held_shards(context);
    take_over_demand(context, held & ~demand.held);
    demand.held = held;
    sample_own_demand(context);
    report_demand(context);
    set_shares(context);
    record_admissions_outside_pool(context);
}

void start_pool(rates_context& context, std::uint32_t shard)
{
    take_over_demand(context, 1U << shard);
    context.state.demand.held |= 1U << shard;
    set_shares(context);
}

time_point demand_shares_due(const rates_state& state)
{
    return state.demand.sampled_at + sample_interval;
}

} // namespace cyclamenhold
