#include "core/rates/demand_shares.hpp"

#include "core/rates/demand_reports.hpp"
#include "core/rates/rate_parts.hpp"
#include "core/rates/rates_context.hpp"
#include "core/rates/reported_demand.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

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

// Starts with the demand that another host of this data centre has reported for
// a pool that this host has begun to hold.
void take_over_demand(rates_context& context, std::uint32_t shards)
{
    demand_share_state& demand = context.state.demand;
    const auto& members = context.inputs.members.members;
    for (const auto& [host, peer] : demand.peers)
    {
        const auto found = members.find(host);
        if (found == members.end() ||
            found->second.data_centre != context.state.settings.data_centre)
        {
            continue;
        }
        for (std::uint32_t shard = 0; shard < shard_count; ++shard)
        {
            if ((shards >> shard & 1U) == 0)
            {
                continue;
            }
            for (const auto& [id, per_second] : peer.shards[shard].per_second)
            {
                double& own = demand.own[id];
                own = std::max(own, per_second);
            }
        }
    }
}

// Begins to hold the pools of these shards, and reports that to the other
// holders at the next tick.
void begin_to_hold(rates_context& context, std::uint32_t shards)
{
    demand_share_state& demand = context.state.demand;
    if (shards == 0)
    {
        return;
    }
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if ((shards >> shard & 1U) != 0)
        {
            demand.held_since[shard] = context.now;
        }
    }
    take_over_demand(context, shards);
    demand.next_report_at = context.now;
}

// The share of a pool that this host holds.
double share_of_pool(
    const rates_context& context, workspace_id id, const workspace& settings,
    const reported_demand& reports)
{
    if (!reports.is_announced)
    {
        return 0.0;
    }
    const pool_hosts& hosts = context.state.pools.hosts;
    const double assumed_by_host = assumed_demand * settings.rate /
                                   static_cast<double>(reports.known_hosts);
    const bool is_first =
        is_first_pool_host(hosts, context.state.settings.self, shard_of(id));
    const auto own = reports.own.find(id);
    const auto other = reports.others.find(id);
    const double own_demand =
        (own == reports.own.end() ? 0.0 : own->second) +
        (is_first ? assumed_by_host * static_cast<double>(reports.local_hosts)
                  : 0.0);
    const double other_demand =
        (other == reports.others.end() ? 0.0 : other->second) +
        assumed_by_host *
            static_cast<double>(reports.hosts - reports.local_hosts);
    return demand_share(
        {own_demand, other_demand, reports.confirming_hosts,
         reports.known_hosts});
}

// Whether no other pool host has confirmed a report within the
// confirmation_term, though there are other hosts.
bool is_cut_off(const rates_context& context, const reported_demand& reports)
{
    return reports.known_hosts > 1 &&
           context.now - reports.confirmed_at > confirmation_term;
}

// For how long this host reaches neither a pool nor another holder; zero if it
// does.
duration silence_in(
    const rates_context& context, std::uint32_t shard,
    const reported_demand& reports)
{
    if (holds_pool(context, shard))
    {
        return reports.is_announced && is_cut_off(context, reports)
                   ? context.now - std::max(
                                       reports.confirmed_at,
                                       context.state.demand.held_since[shard])
                   : duration::zero();
    }
    return silence_of_pools(context, shard).value_or(duration::zero());
}

allowance_role
role_in(const rates_context& context, std::uint32_t shard, duration silence)
{
    if (silence > duration::zero())
    {
        return allowance_role::cut_off;
    }
    return holds_pool(context, shard) ? allowance_role::holder
                                      : allowance_role::pooled;
}

void set_role(
    rates_context& context, std::uint32_t shard, allowance_role role,
    const reported_demand& reports)
{
    allowance_role& current = context.state.demand.roles[shard];
    if (current == role)
    {
        return;
    }
    context.actions.events.push_back(
        {event_kind::rate_role_changed,
         {},
         {},
         host_id::none,
         absl::StrFormat(
             "shard %d: %s, before %s; %d of %d hosts reached", shard,
             name_of(role), name_of(current), reports.confirming_hosts,
             context.state.pools.hosts.known)});
    current = role;
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

// The allowance of a host that reaches neither a pool nor another holder: the
// reserve until the holders have detected that, its part of all hosts later.
spread_rate part_of_cut_off_host(
    const workspace& settings, const rate_tolerance& tolerance,
    const reported_demand& reports, duration silence)
{
    const double share = 1.0 / static_cast<double>(reports.known_hosts);
    if (silence >= pool_detection_time)
    {
        return part_of_rate(
            spread_burst(settings.rate, settings.burst, tolerance), share,
            tolerance.window);
    }
    const double reserve =
        unreached_reserve(settings.rate, settings.burst, tolerance);
    return part_of_rate({0.0, reserve}, share, tolerance.window);
}

void set_shares(rates_context& context)
{
    const rates_settings& settings = context.state.settings;
    const rate_tolerance tolerance{
        settings.window, settings.overage, settings.slack};
    std::array<std::optional<reported_demand>, shard_count> collected;
    for (const auto& [id, workspace] : context.state.workspaces)
    {
        const std::uint32_t shard = shard_of(id);
        if (!collected[shard])
        {
            collected[shard] =
                holds_pool(context, shard) || silence_of_pools(context, shard)
                    ? collect_reports(context, shard)
                    : reported_demand{};
        }
        const reported_demand& reports = *collected[shard];
        const duration silence = silence_in(context, shard, reports);
        const allowance_role role = role_in(context, shard, silence);
        set_role(context, shard, role, reports);
        spread_rate part;
        if (role == allowance_role::holder)
        {
            part = part_of_rate(
                spread_burst(workspace.rate, workspace.burst, tolerance),
                share_of_pool(context, id, workspace, reports),
                tolerance.window);
        }
        else if (role == allowance_role::cut_off && !is_starting(context))
        {
            part = part_of_cut_off_host(workspace, tolerance, reports, silence);
        }
        set_own_allowance(
            context.inputs.limiter, id,
            {part.per_second, part.capacity, context.now + allowance_term,
             role},
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
    begin_to_hold(context, held & ~std::exchange(demand.held, held));
    sample_own_demand(context);
    report_demand(context);
    set_shares(context);
    record_admissions_outside_pool(context);
}

void start_pool(rates_context& context, std::uint32_t shard)
{
    const std::uint32_t held = 1U << shard;
    begin_to_hold(context, held & ~context.state.demand.held);
    context.state.demand.held |= held;
    report_demand(context);
    set_shares(context);
}

time_point demand_shares_due(const rates_state& state)
{
    return state.demand.sampled_at + sample_interval;
}

} // namespace cyclamenhold
