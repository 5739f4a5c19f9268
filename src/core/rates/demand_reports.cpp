#include "core/rates/demand_reports.hpp"

#include "core/rates/rates_context.hpp"

#include <cmath>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

void send_report(
    rates_context& context, host_id to, std::uint32_t shards,
    std::vector<wire_rates::demand_row> rows)
{
    wire_rates::demand_report_data report;
    report.shards = shards;
    report.rows = std::move(rows);
    wire_rates::bodyUnion body;
    body.Set(std::move(report));
    send_rates_datagram(context, to, std::move(body));
}

// Reports the demand of these shards, in as many datagrams as needed.
void report_shards(rates_context& context, host_id to, std::uint32_t shards)
{
    // A larger message would not fit into a datagram.
    constexpr std::size_t max_rows = 64;
    std::uint32_t included = 0;
    std::vector<wire_rates::demand_row> rows;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if ((shards >> shard & 1U) == 0)
        {
            continue;
        }
        std::vector<wire_rates::demand_row> next;
        for (const auto& [id, per_second] : context.state.demand.reported)
        {
            if (shard_of(id) == shard)
            {
                next.emplace_back(
                    static_cast<std::uint64_t>(id),
                    static_cast<float>(per_second));
            }
        }
        if (included != 0 && rows.size() + next.size() > max_rows)
        {
            send_report(
                context, to, std::exchange(included, 0U),
                std::exchange(rows, {}));
        }
        included |= 1U << shard;
        rows.insert(rows.end(), next.begin(), next.end());
    }
    if (included != 0)
    {
        send_report(context, to, included, std::move(rows));
    }
}

} // namespace

// The shards whose pools this host holds, one bit a shard.
std::uint32_t held_shards(const rates_context& context)
{
    std::uint32_t held = 0;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        held |= holds_pool(context, shard) ? 1U << shard : 0U;
    }
    return held;
}

void report_demand(rates_context& context)
{
    demand_share_state& demand = context.state.demand;
    if (context.now < demand.next_report_at)
    {
        return;
    }
    demand.next_report_at = context.now + demand_report_interval;
    demand.reported.clear();
    for (const auto& [id, per_second] : demand.own)
    {
        // Requests a second. The assumed demand covers smaller ones.
        constexpr double min_reported_demand = 0.05;
        if (per_second >= min_reported_demand)
        {
            demand.reported[id] = per_second;
        }
    }
    const std::uint32_t held = held_shards(context);
    for (const auto& [host, shards] : context.state.pools.hosts.others)
    {
        report_shards(context, host, held & shards);
    }
}

reported_demand
collect_reports(const rates_context& context, std::uint32_t shard)
{
    const auto& alive = context.state.pools.hosts.alive;
    const auto& members = context.inputs.members.members;
    const data_centre_id own = context.state.settings.data_centre;
    reported_demand collected;
    std::map<data_centre_id, std::size_t> reporting;
    if (const auto found = alive.find(own); found != alive.end())
    {
        collected.local_hosts = found->second;
    }
    for (const auto& [host, peer] : context.state.demand.peers)
    {
        const auto found = members.find(host);
        const bool is_recent =
            context.now - peer.received_at[shard] <= demand_report_timeout;
        if (!is_recent || found == members.end())
        {
            continue;
        }
        const data_centre_id data_centre = found->second.data_centre;
        if (const auto count = alive.find(data_centre);
            data_centre != own && count != alive.end())
        {
            reporting[data_centre] = count->second;
        }
        for (const auto& [id, per_second] : peer.per_second)
        {
            if (shard_of(id) == shard)
            {
                collected.per_second[id] += per_second;
            }
        }
    }
    collected.hosts = collected.local_hosts;
    for (const auto& [data_centre, count] : reporting)
    {
        collected.hosts += count;
    }
    return collected;
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

void on_demand_report(
    rates_context& context, host_id from,
    const wire_rates::demand_report_data& in)
{
    // A host of an earlier version lists no shards and reports all of them.
    const std::uint32_t shards = in.shards == 0 ? all_shards : in.shards;
    peer_demand& peer = context.state.demand.peers[from];
    std::erase_if(
        peer.per_second,
        [shards](const auto& entry)
        {
            return (shards >> shard_of(entry.first) & 1U) != 0;
        });
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if ((shards >> shard & 1U) != 0)
        {
            peer.received_at[shard] = context.now;
        }
    }
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
