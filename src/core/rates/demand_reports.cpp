#include "core/rates/demand_reports.hpp"

#include "core/rates/rates_context.hpp"
#include "core/rates/reported_demand.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

void record_sent(rates_context& context, host_id to, std::uint32_t shards)
{
    peer_demand& peer = context.state.demand.peers[to];
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if (contains_shard(shards, shard))
        {
            peer.shards[shard].sent_at = context.now;
            ++peer.shards[shard].sent_count;
        }
    }
}

// A report of `shards`, or the answer to report `reply_to` of the host.
void send_report(
    rates_context& context, host_id to, std::uint32_t shards,
    std::vector<wire_rates::demand_row> rows, std::uint64_t reply_to)
{
    wire_rates::demand_report_data report;
    report.shards = shards;
    report.rows = std::move(rows);
    report.report = ++context.state.demand.last_report;
    report.reply_to = reply_to;
    report.hosts = static_cast<std::uint32_t>(context.state.pools.hosts.known);
    if (reply_to == 0)
    {
        record_sent(context, to, shards);
    }
    wire_rates::bodyUnion body;
    body.Set(std::move(report));
    send_rates_datagram(context, to, std::move(body));
}

// Sends the present demand of these shards, in as many datagrams as needed.
void send_shards(
    rates_context& context, host_id to, std::uint32_t shards,
    std::uint64_t reply_to = 0)
{
    // A larger message would not fit into a datagram.
    constexpr std::size_t max_rows = 64;
    std::uint32_t included = 0;
    std::vector<wire_rates::demand_row> rows;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if (!contains_shard(shards, shard))
        {
            continue;
        }
        const demand_by_workspace& demand = present_demand(context, shard);
        if (included != 0 && rows.size() + demand.size() > max_rows)
        {
            send_report(
                context, to, std::exchange(included, 0U),
                std::exchange(rows, {}), reply_to);
        }
        included |= 1U << shard;
        for (const auto& [id, per_second] : demand)
        {
            rows.emplace_back(
                static_cast<std::uint64_t>(id), static_cast<float>(per_second));
        }
    }
    if (included != 0)
    {
        send_report(context, to, included, std::move(rows), reply_to);
    }
}

// Begins a new version of the reported demand. From now on a peer may count it
// or an earlier one.
void update_reported(rates_context& context)
{
    // Requests a second. The assumed demand covers smaller ones.
    constexpr double min_reported_demand = 0.05;
    demand_share_state& demand = context.state.demand;
    while (demand.reported.size() > 1 &&
           context.now - demand.reported.front().reported_at >
               demand_report_timeout)
    {
        demand.reported.pop_front();
    }
    reported_version version;
    version.first_report = demand.last_report + 1;
    version.reported_at = context.now;
    for (const auto& [id, per_second] : demand.own)
    {
        if (per_second >= min_reported_demand)
        {
            // The value that peers receive.
            version.per_second[shard_of(id)][id] =
                static_cast<float>(per_second);
        }
    }
    for (auto& [host, peer] : demand.peers)
    {
        for (std::uint32_t shard = 0; shard < shard_count; ++shard)
        {
            reduce_to(peer.shards[shard].confirmed, version.per_second[shard]);
            peer.shards[shard].sent_count = 0;
        }
    }
    demand.reported.push_back(std::move(version));
}

// The pool hosts of a shard that are members, or have sent a message recently.
std::map<host_id, std::uint32_t> recipients(const rates_context& context)
{
    auto hosts = context.state.pools.hosts.others;
    for (const auto& [host, peer] : context.state.demand.peers)
    {
        for (std::uint32_t shard = 0; shard < shard_count; ++shard)
        {
            if (is_heard(context, peer.shards[shard]))
            {
                hosts[host] |= 1U << shard;
            }
        }
    }
    return hosts;
}

// Whether a report is to be sent again, because the host has not confirmed the
// present demand.
bool is_repeat_due(const rates_context& context, const peer_shard& peer)
{
    const auto& reported = context.state.demand.reported;
    constexpr std::uint32_t max_doublings = 5;
    return peer.sent_count > 0 && is_heard(context, peer) &&
           peer.confirmed_at < reported.back().reported_at &&
           context.now - peer.sent_at >=
               demand_report_retry *
                   (1U << std::min(peer.sent_count - 1, max_doublings));
}

void repeat_reports(rates_context& context)
{
    for (auto& [host, peer] : context.state.demand.peers)
    {
        std::uint32_t shards = 0;
        for (std::uint32_t shard = 0; shard < shard_count; ++shard)
        {
            shards |=
                is_repeat_due(context, peer.shards[shard]) ? 1U << shard : 0U;
        }
        send_shards(context, host, shards);
    }
}

// The host counts the demand of the version that `report` belongs to, or of a
// later one.
void confirm_report(
    const demand_share_state& demand, peer_shard& peer, std::uint32_t shard,
    std::uint64_t report)
{
    const auto later = std::ranges::find_if(
        demand.reported,
        [report](const reported_version& version)
        {
            return version.first_report > report;
        });
    if (later == demand.reported.begin())
    {
        return;
    }
    auto version = std::prev(later);
    if (version->reported_at < peer.confirmed_at)
    {
        return;
    }
    peer.confirmed_at = version->reported_at;
    peer.confirmed = version->per_second[shard];
    for (; version != demand.reported.end(); ++version)
    {
        reduce_to(peer.confirmed, version->per_second[shard]);
    }
}

} // namespace

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
        repeat_reports(context);
        return;
    }
    demand.next_report_at = context.now + demand_report_interval;
    update_reported(context);
    // Others also learn that a pool is no longer held here.
    const std::uint32_t held = held_shards(context);
    const std::uint32_t shards =
        held | std::exchange(demand.reported_shards, held);
    for (const auto& [host, host_shards] : recipients(context))
    {
        send_shards(context, host, shards & host_shards);
    }
}

void drop_departed_peers(rates_context& context)
{
    const auto& others = context.state.pools.hosts.others;
    std::erase_if(
        context.state.demand.peers,
        [&](const auto& entry)
        {
            return !others.contains(entry.first) &&
                   std::ranges::none_of(
                       entry.second.shards,
                       [&](const peer_shard& peer)
                       {
                           return is_heard(context, peer);
                       });
        });
}

void on_demand_report(
    rates_context& context, host_id from,
    const wire_rates::demand_report_data& in)
{
    demand_share_state& demand = context.state.demand;
    peer_demand& peer = demand.peers[from];
    peer.hosts_known = in.hosts;
    // A host of an earlier version lists no shards and reports all of them.
    const std::uint32_t listed = in.shards == 0 ? all_shards : in.shards;
    std::uint32_t shards = 0;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        peer_shard& entry = peer.shards[shard];
        const bool was_heard = is_heard(context, entry);
        const bool is_overtaken = in.report < entry.last_report && was_heard;
        if (!contains_shard(listed, shard) || is_overtaken)
        {
            continue;
        }
        shards |= 1U << shard;
        if (entry.received_at == time_point{})
        {
            // The host uses no share before it has received an answer, which
            // has the present demand.
            entry.confirmed = present_demand(context, shard);
        }
        else if (!was_heard)
        {
            // It may still count an older demand, and confirms the present one.
            demand.next_report_at = context.now;
        }
        entry.last_report = in.report;
        entry.received_at = context.now;
        entry.per_second.clear();
        if (in.reply_to != 0)
        {
            confirm_report(demand, entry, shard, in.reply_to);
        }
    }
    for (const auto& row : in.rows)
    {
        const auto id = static_cast<workspace_id>(row.workspace());
        const double per_second = row.per_second();
        if (contains_shard(shards, shard_of(id)) && std::isfinite(per_second) &&
            per_second >= 0.0)
        {
            peer.shards[shard_of(id)].per_second[id] = per_second;
        }
    }
    if (in.reply_to == 0 && in.report != 0)
    {
        send_shards(context, from, shards, in.report);
    }
}

} // namespace cyclamenhold
