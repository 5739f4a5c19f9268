#include "core/rates/pool_hosts.hpp"

#include "core/membership/membership.hpp"

#include <algorithm>
#include <span>

namespace cyclamenhold
{
namespace
{

// Without a change of the members, a dead host leaves `known` by time alone.
constexpr duration update_interval = 1s;

using hosts_by_data_centre = std::map<data_centre_id, std::vector<host_id>>;

// The first hosts for a shard in rendezvous order.
std::vector<host_id>
first_choices(std::uint32_t shard, std::vector<host_id> hosts)
{
    std::vector<host_id> chosen;
    while (chosen.size() < pool_hosts_per_data_centre && !hosts.empty())
    {
        chosen.push_back(rendezvous_winner(shard, hosts));
        std::erase(hosts, chosen.back());
    }
    return chosen;
}

void add_others(
    pool_hosts& hosts, host_id self, std::uint32_t shard,
    std::span<const host_id> chosen)
{
    for (const host_id host : chosen)
    {
        if (host != self)
        {
            hosts.others[host] |= 1U << shard;
        }
    }
}

bool may_serve_callers(const member& peer, time_point now)
{
    const bool is_recent = now - peer.changed_at < dead_host_timeout;
    return peer.state == member_state::alive ||
           peer.state == member_state::suspect ||
           (peer.state == member_state::dead && is_recent);
}

} // namespace

void update_pool_hosts(
    pool_hosts& hosts, const local_pool_host& self,
    const membership_state& members, time_point now)
{
    const bool is_current = hosts.updated_at != time_point{} &&
                            hosts.members_version == members.version &&
                            now - hosts.updated_at < update_interval;
    if (is_current)
    {
        return;
    }
    hosts = {};
    hosts.members_version = members.version;
    hosts.updated_at = now;
    hosts_by_data_centre alive;
    if (!self.is_leaving)
    {
        alive[self.data_centre].push_back(self.host);
    }
    for (const auto& [host, peer] : members.members)
    {
        hosts.known += may_serve_callers(peer, now) ? 1 : 0;
        if (peer.state == member_state::alive)
        {
            alive[peer.data_centre].push_back(host);
        }
    }
    for (const auto& [data_centre, local_hosts] : alive)
    {
        hosts.alive[data_centre] = local_hosts.size();
        for (std::uint32_t shard = 0; shard < shard_count; ++shard)
        {
            const auto chosen = first_choices(shard, local_hosts);
            add_others(hosts, self.host, shard, chosen);
            if (data_centre == self.data_centre)
            {
                hosts.local[shard] = chosen;
            }
        }
    }
}

bool is_first_pool_host(
    const pool_hosts& hosts, host_id self, std::uint32_t shard)
{
    const auto& local = hosts.local[shard];
    return !local.empty() && local.front() == self;
}

} // namespace cyclamenhold
