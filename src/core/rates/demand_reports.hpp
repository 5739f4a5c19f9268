// Reports of demand between the hosts that hold token pools.
#pragma once

#include "core/rates/demand_shares.hpp"

#include <cstdint>

namespace cyclamenhold
{

// The shards whose pools this host holds, one bit a shard.
[[nodiscard]] std::uint32_t held_shards(const rates_context& context);

// Reports the demand at this host's pools to the other pool hosts of their
// shards, at each demand_report_interval. Sends reports without an answer
// again.
void report_demand(rates_context& context);

// Drops the state of hosts that hold no pool and send no messages.
void drop_departed_peers(rates_context& context);

} // namespace cyclamenhold
