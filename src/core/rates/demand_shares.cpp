#include "core/rates/demand_shares.hpp"

#include "core/rates/step.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

// How fast the measured demand follows the arrivals: fast where there are many,
// and over more time where chance decides how many come in a second.
constexpr duration shortest_memory = 1s;
constexpr duration longest_memory = 4s;
// So many arrivals are remembered, which bounds the error by chance to about a
// quarter.
constexpr double remembered_arrivals = 16.0;
constexpr duration sample_interval = 100ms;
// Demand that every host is taken to have, so that one without callers lately
// can serve the next at once: a part of the rate divided by the hosts.
constexpr double assumed_demand = 0.15;

// Seconds.
double memory_of(double demand)
{
    return std::clamp(
        remembered_arrivals / std::max(demand, 1e-3),
        to_seconds(shortest_memory), to_seconds(longest_memory));
}

void sample_own_demand(rates_step& step)
{
    demand_share_state& demand = step.state.demand;
    const double elapsed = to_seconds(step.now - demand.sampled_at);
    demand.sampled_at = step.now;
    for (const auto& [id, workspace] : step.state.workspaces)
    {
        const double arrivals =
            sample_demand(step.inputs.limiter, id, step.now).arrivals;
        double& known = demand.own[id];
        const double kept = std::exp(-elapsed / memory_of(known));
        known =
            kept * known + (1.0 - kept) * arrivals / std::max(elapsed, 1e-3);
    }
    std::erase_if(
        demand.own,
        [&step](const auto& entry)
        {
            return !step.state.workspaces.contains(entry.first);
        });
}

// Hosts that may be serving callers, heard from or not; without this one.
std::size_t count_other_hosts(const rates_step& step)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        step.inputs.members.members,
        [&step](const auto& entry)
        {
            const member& known = entry.second;
            const bool lately = step.now - known.changed_at < dead_host_time;
            return known.state == member_state::alive ||
                   known.state == member_state::suspect ||
                   (known.state == member_state::dead && lately);
        }));
}

void forget_departed(rates_step& step)
{
    const auto& members = step.inputs.members.members;
    std::erase_if(
        step.state.demand.peers,
        [&members](const auto& entry)
        {
            const auto found = members.find(entry.first);
            return found == members.end() ||
                   found->second.state == member_state::left;
        });
}

void report_demand(rates_step& step)
{
    demand_share_state& demand = step.state.demand;
    if (step.now < demand.next_report_at)
    {
        return;
    }
    demand.next_report_at = step.now + demand_report_interval;
    wire_rates::message_data message;
    wire_rates::demand_report_data report;
    demand.told.clear();
    for (const auto& [id, per_second] : demand.own)
    {
        // Small demands are covered by the assumed one.
        constexpr double least_reported = 0.05;
        if (per_second >= least_reported)
        {
            demand.told[id] = per_second;
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
    for (const auto& [host, known] : step.inputs.members.members)
    {
        if (known.state == member_state::alive ||
            known.state == member_state::suspect)
        {
            step.actions.messages.push_back(
                {host, message_kind::rates, transport::datagram, payload});
        }
    }
}

void set_shares(rates_step& step)
{
    const demand_share_state& demand = step.state.demand;
    std::size_t heard = 1;
    demand_by_workspace others;
    for (const auto& [host, peer] : demand.peers)
    {
        if (step.now - peer.heard_at > demand_report_timeout)
        {
            continue;
        }
        ++heard;
        for (const auto& [id, per_second] : peer.per_second)
        {
            others[id] += per_second;
        }
    }
    const std::size_t known = std::max(heard, count_other_hosts(step) + 1);
    const bool is_newcomer =
        step.now - demand.started_at < newcomer_time && heard == 1;
    for (const auto& [id, workspace] : step.state.workspaces)
    {
        const double assumed =
            assumed_demand * workspace.rate / static_cast<double>(known);
        const auto told = demand.told.find(id);
        const double own_demand =
            told == demand.told.end() ? 0.0 : told->second;
        const double share =
            is_newcomer
                ? newcomer_share
                : demand_share(
                      {own_demand + assumed,
                       others[id] + assumed * static_cast<double>(heard - 1),
                       heard, known});
        const auto [per_second, at_once] = spread_burst(
            workspace.rate, workspace.burst,
            {step.state.settings.window, step.state.settings.overage,
             step.state.settings.slack});
        // A bucket below one token would never fill.
        set_own_allowance(
            step.inputs.limiter, id,
            {share * per_second, std::max(1.0, share * at_once),
             time_point::max()},
            step.now);
    }
}

} // namespace

double demand_share(const share_inputs& inputs)
{
    const double side = static_cast<double>(inputs.hosts_heard) /
                        static_cast<double>(inputs.hosts_known);
    const double all = inputs.own_demand + inputs.other_demand;
    return all <= 0.0 ? side / static_cast<double>(inputs.hosts_heard)
                      : side * inputs.own_demand / all;
}

spread_rate
spread_burst(double rate, double burst, const rate_tolerance& tolerance)
{
    if (tolerance.window <= duration::zero())
    {
        return {rate, burst};
    }
    // Both parts together are the burst of one window.
    constexpr double steady_part = 0.75;
    // The rest of the tolerance is for demand that moves between hosts before
    // all of them know.
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

void keep_demand_shares(rates_step& step)
{
    demand_share_state& demand = step.state.demand;
    if (demand.started_at == time_point{})
    {
        demand.started_at = step.now;
        demand.sampled_at = step.now;
    }
    if (step.now - demand.sampled_at < sample_interval)
    {
        return;
    }
    sample_own_demand(step);
    forget_departed(step);
    report_demand(step);
    set_shares(step);
}

time_point demand_due(const rates_state& state)
{
    return state.demand.sampled_at + sample_interval;
}

void on_demand_report(
    rates_step& step, host_id from, const wire_rates::demand_report_data& in)
{
    peer_demand& peer = step.state.demand.peers[from];
    peer.heard_at = step.now;
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
