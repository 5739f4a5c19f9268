#include "core/rates/demand_shares.hpp"

#include "core/rates/rates_context.hpp"

#include <algorithm>
#include <cmath>

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
// Demand assumed at every host, as a fraction of the rate divided by the number
// of hosts, so that a host without recent callers can serve the next one at
// once.
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
    const double elapsed = to_seconds(context.now - demand.sampled_at);
    demand.sampled_at = context.now;
    for (const auto& [id, workspace] : context.state.workspaces)
    {
        const double arrivals =
            sample_demand(context.inputs.limiter, id, context.now).arrivals;
        double& own_demand = demand.own[id];
        const double decay = std::exp(-elapsed / averaging_time(own_demand));
        own_demand = decay * own_demand +
                     (1.0 - decay) * arrivals / std::max(elapsed, 1e-3);
    }
    std::erase_if(
        demand.own,
        [&context](const auto& entry)
        {
            return !context.state.workspaces.contains(entry.first);
        });
}

// Other hosts that may be serving callers, with or without a recent report.
std::size_t count_other_hosts(const rates_context& context)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        context.inputs.members.members,
        [&context](const auto& entry)
        {
            const member& peer = entry.second;
            const bool is_recent =
                context.now - peer.changed_at < dead_host_timeout;
            return peer.state == member_state::alive ||
                   peer.state == member_state::suspect ||
                   (peer.state == member_state::dead && is_recent);
        }));
}

void drop_departed_peers(rates_context& context)
{
    const auto& members = context.inputs.members.members;
    std::erase_if(
        context.state.demand.peers,
        [&members](const auto& entry)
        {
            const auto found = members.find(entry.first);
            return found == members.end() ||
                   found->second.state == member_state::left;
        });
}

void report_demand(rates_context& context)
{
    demand_share_state& demand = context.state.demand;
    if (context.now < demand.next_report_at)
    {
        return;
    }
    demand.next_report_at = context.now + demand_report_interval;
    wire_rates::message_data message;
    wire_rates::demand_report_data report;
    demand.reported.clear();
    for (const auto& [id, per_second] : demand.own)
    {
        // Requests a second. The assumed demand covers smaller ones.
        constexpr double min_reported_demand = 0.05;
        if (per_second >= min_reported_demand)
        {
            demand.reported[id] = per_second;
            report.rows.emplace_back(
                static_cast<std::uint64_t>(id), static_cast<float>(per_second));
        }
    }
    message.body.Set(std::move(report));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire_rates::message::Pack(builder, &message));
    const std::vector<std::uint8_t> payload(
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize());
    for (const auto& [host, peer] : context.inputs.members.members)
    {
        if (peer.state == member_state::alive ||
            peer.state == member_state::suspect)
        {
            context.actions.messages.push_back(
                {host, message_kind::rates, transport::datagram, payload});
        }
    }
}

void set_shares(rates_context& context)
{
    const demand_share_state& demand = context.state.demand;
    std::size_t reporting_hosts = 1;
    demand_by_workspace others;
    for (const auto& [host, peer] : demand.peers)
    {
        if (context.now - peer.received_at > demand_report_timeout)
        {
            continue;
        }
        ++reporting_hosts;
        for (const auto& [id, per_second] : peer.per_second)
        {
            others[id] += per_second;
        }
    }
    const std::size_t known_hosts =
        std::max(reporting_hosts, count_other_hosts(context) + 1);
    const bool is_starting_alone =
        context.now - demand.started_at < startup_time && reporting_hosts == 1;
    for (const auto& [id, workspace] : context.state.workspaces)
    {
        const double assumed =
            assumed_demand * workspace.rate / static_cast<double>(known_hosts);
        const auto reported = demand.reported.find(id);
        const double own_demand =
            reported == demand.reported.end() ? 0.0 : reported->second;
        const double share =
            is_starting_alone
                ? startup_share
                : demand_share(
                      {own_demand + assumed,
                       others[id] +
                           assumed * static_cast<double>(reporting_hosts - 1),
                       reporting_hosts, known_hosts});
        const auto [per_second, capacity] = spread_burst(
            workspace.rate, workspace.burst,
            {context.state.settings.window, context.state.settings.overage,
             context.state.settings.slack});
        // A bucket with a capacity below one token would never admit a request.
        set_own_allowance(
            context.inputs.limiter, id,
            {share * per_second, std::max(1.0, share * capacity),
             time_point::max()},
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
    sample_own_demand(context);
    drop_departed_peers(context);
    report_demand(context);
    set_shares(context);
}

time_point demand_shares_due(const rates_state& state)
{
    return state.demand.sampled_at + sample_interval;
}

void on_demand_report(
    rates_context& context, host_id from,
    const wire_rates::demand_report_data& in)
{
    peer_demand& peer = context.state.demand.peers[from];
    peer.received_at = context.now;
    peer.per_second.clear();
    for (const auto& row : in.rows)
    {
        const double per_second = row.per_second();
        if (std::isfinite(per_second) && per_second >= 0.0)
        {
            peer.per_second[static_cast<workspace_id>(row.workspace())] =
                per_second;
        }
    }
}

} // namespace cyclamenhold
