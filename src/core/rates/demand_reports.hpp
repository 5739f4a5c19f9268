// Reports of demand between the hosts that hold token pools.
#pragma once

#include "core/rates/demand_shares.hpp"

#include <cstdint>

namespace cyclamenhold
{

// The shards whose pools this host holds, one bit a shard.
[[nodiscard]] std::uint32_t held_shards(const rates_context& context);

// Reports the demand at this host's pools to the other pool hosts of their
// shards, at each demand_report_interval.
void report_demand(rates_context& context);

// Drops the reports of hosts that have left.
void drop_departed_peers(rates_context& context);

// What the other pool hosts of one shard have reported recently.
struct reported_demand
{
    demand_by_workspace per_second;
    // Alive hosts of this data centre, and of all from which a report came.
    std::size_t local_hosts = 1;
    std::size_t hosts = 1;
};

[[nodiscard]] reported_demand
collect_reports(const rates_context& context, std::uint32_t shard);

} // namespace cyclamenhold
