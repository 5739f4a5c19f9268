// What the pool hosts of a shard have reported to each other and confirmed.
#pragma once

#include "core/rates/demand_shares.hpp"

#include <cstdint>

namespace cyclamenhold
{

// Whether a set of shards, one bit a shard, contains a shard.
[[nodiscard]] constexpr bool
contains_shard(std::uint32_t shards, std::uint32_t shard)
{
    return (shards >> shard & 1U) != 0;
}

// Own demand in a shard that the others should count at present.
[[nodiscard]] const demand_by_workspace&
present_demand(const rates_context& context, std::uint32_t shard);

// Reduces each entry of `demand` to the one in `other`, zero if there is none.
void reduce_to(demand_by_workspace& demand, const demand_by_workspace& other);

// Whether the host has sent a message within the demand_report_timeout.
[[nodiscard]] bool
is_heard(const rates_context& context, const peer_shard& peer);

// What the pool hosts of one shard have reported to each other recently.
struct reported_demand
{
    // Of the other pool hosts.
    demand_by_workspace others;
    // Own demand, as far as the others have confirmed it.
    demand_by_workspace own;
    // Alive hosts of this data centre, and of all from which a message came.
    std::size_t local_hosts = 1;
    std::size_t hosts = 1;
    // Alive hosts of the data centres, each by the part of its pool hosts that
    // have confirmed a report within the confirmation_term. With this host.
    std::size_t confirming_hosts = 1;
    // All hosts that this host or another pool host knows, or that the platform
    // lists.
    std::size_t known_hosts = 1;
    // When the last report that was confirmed by any host was sent.
    time_point confirmed_at{};
    // The other pool hosts know that this host holds the pool, or have had no
    // contact with it for the demand_report_timeout.
    bool is_announced = false;
};

[[nodiscard]] reported_demand
collect_reports(const rates_context& context, std::uint32_t shard);

} // namespace cyclamenhold
