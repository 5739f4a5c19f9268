#include "core/rates/reported_demand.hpp"

#include "core/rates/rates_context.hpp"

#include <algorithm>
#include <set>

namespace cyclamenhold
{
namespace
{

double value_of(const demand_by_workspace& demand, workspace_id id)
{
    const auto found = demand.find(id);
    return found == demand.end() ? 0.0 : found->second;
}

bool is_recent(const rates_context& context, time_point at, duration term)
{
    return at != time_point{} && context.now - at <= term;
}

bool is_announced(const rates_context& context, std::uint32_t shard)
{
    const demand_share_state& demand = context.state.demand;
    const time_point since = demand.held_since[shard];
    if (context.now - since >= demand_report_timeout)
    {
        return true;
    }
    return std::ranges::all_of(
        context.state.pools.hosts.others,
        [&](const auto& entry)
        {
            const auto found = demand.peers.find(entry.first);
            return !contains_shard(entry.second, shard) ||
                   (found != demand.peers.end() &&
                    found->second.shards[shard].confirmed_at >= since);
        });
}

// The alive hosts of the data centres, each by the part of its pool hosts of
// the shard that have confirmed a report, so that a data centre which is
// divided by a partition does not count on both sides.
std::size_t count_confirming(
    const rates_context& context, std::uint32_t shard,
    const std::set<host_id>& confirming)
{
    struct pool_host_counts
    {
        std::size_t all = 0;
        std::size_t confirming = 0;
    };
    const pool_hosts& hosts = context.state.pools.hosts;
    const auto& members = context.inputs.members.members;
    const data_centre_id own = context.state.settings.data_centre;
    std::map<data_centre_id, pool_host_counts> counts;
    counts[own] = {1, 1};
    for (const auto& [host, shards] : hosts.others)
    {
        const auto found = members.find(host);
        if (contains_shard(shards, shard) && found != members.end())
        {
            pool_host_counts& count = counts[found->second.data_centre];
            ++count.all;
            count.confirming += confirming.contains(host) ? 1 : 0;
        }
    }
    double sum = 0.0;
    for (const auto& [data_centre, count] : counts)
    {
        const auto alive = hosts.alive.find(data_centre);
        sum += alive == hosts.alive.end()
                   ? 0.0
                   : static_cast<double>(alive->second * count.confirming) /
                         static_cast<double>(count.all);
    }
    return std::max<std::size_t>(static_cast<std::size_t>(sum), 1);
}

std::size_t
count_alive(const pool_hosts& hosts, const std::set<data_centre_id>& chosen)
{
    std::size_t count = 0;
    for (const data_centre_id data_centre : chosen)
    {
        const auto found = hosts.alive.find(data_centre);
        count += found == hosts.alive.end() ? 0 : found->second;
    }
    return std::max<std::size_t>(count, 1);
}

} // namespace

// Own demand in a shard that the others should count at present.
const demand_by_workspace&
present_demand(const rates_context& context, std::uint32_t shard)
{
    static const demand_by_workspace none;
    const auto& reported = context.state.demand.reported;
    return reported.empty() ? none : reported.back().per_second[shard];
}

bool is_heard(const rates_context& context, const peer_shard& peer)
{
    return is_recent(context, peer.received_at, demand_report_timeout);
}

// Reduces each entry of `demand` to the one in `other`, zero if there is none.
void reduce_to(demand_by_workspace& demand, const demand_by_workspace& other)
{
    for (auto& [id, per_second] : demand)
    {
        per_second = std::min(per_second, value_of(other, id));
    }
}

reported_demand
collect_reports(const rates_context& context, std::uint32_t shard)
{
    const pool_hosts& hosts = context.state.pools.hosts;
    const auto& members = context.inputs.members.members;
    const data_centre_id own = context.state.settings.data_centre;
    reported_demand collected;
    // A host that has not met the others yet, or not for long, knows from the
    // platform that there are some.
    collected.known_hosts =
        std::max(hosts.known, 1 + context.inputs.members.seed.others_listed);
    collected.is_announced = is_announced(context, shard);
    collected.own = present_demand(context, shard);
    std::set<data_centre_id> heard{own};
    std::set<host_id> confirming;
    for (const auto& [host, peer_of_all] : context.state.demand.peers)
    {
        const peer_shard& peer = peer_of_all.shards[shard];
        collected.confirmed_at =
            std::max(collected.confirmed_at, peer.confirmed_at);
        if (!is_heard(context, peer))
        {
            continue;
        }
        collected.known_hosts =
            std::max(collected.known_hosts, peer_of_all.hosts_known);
        reduce_to(collected.own, peer.confirmed);
        for (const auto& [id, per_second] : peer.per_second)
        {
            collected.others[id] += per_second;
        }
        if (const auto found = members.find(host); found != members.end())
        {
            heard.insert(found->second.data_centre);
        }
        if (is_recent(context, peer.confirmed_at, confirmation_term))
        {
            confirming.insert(host);
        }
    }
    collected.local_hosts = count_alive(hosts, {own});
    collected.hosts = count_alive(hosts, heard);
    collected.confirming_hosts = count_confirming(context, shard, confirming);
    return collected;
}

} // namespace cyclamenhold
