// The hosts that hold the token pools of a shard of workspaces in each data
// centre, if shares follow demand.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"
#include "core/rates/shards.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace cyclamenhold
{

struct membership_state;

// The first holds the pool, the second replaces it while it does not answer.
constexpr std::size_t pool_hosts_per_data_centre = 2;

struct pool_hosts
{
    // The hosts of this data centre for each shard, the first choice first.
    std::array<std::vector<host_id>, shard_count> local;
    // The shards of which a host of any data centre holds a pool, one bit a
    // shard. Without this host.
    std::map<host_id, std::uint32_t> others;
    // Alive hosts by data centre, with this host.
    std::map<data_centre_id, std::size_t> alive;
    // Hosts that may serve callers: alive, suspected, or dead for less than
    // dead_host_timeout. With this host.
    std::size_t known = 1;
    // membership_state::version of the last update, and its time.
    std::uint64_t members_version = 0;
    time_point updated_at{};
};

// A member in the state `dead` for this time is considered to serve no callers.
constexpr duration dead_host_timeout = 20s;

// This host. One that is leaving holds no pool.
struct local_pool_host
{
    host_id host = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
    bool is_leaving = false;
};

// Recomputes `hosts` after a change of the members, and at least each second.
void update_pool_hosts(
    pool_hosts& hosts, const local_pool_host& self,
    const membership_state& members, time_point now);

// Whether this host is the first choice for a shard in its data centre.
[[nodiscard]] bool
is_first_pool_host(const pool_hosts& hosts, host_id self, std::uint32_t shard);

} // namespace cyclamenhold
