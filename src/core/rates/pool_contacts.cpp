// Whether pool hosts answer this host.
#include "core/rates/rates_context.hpp"

#include <algorithm>

namespace cyclamenhold
{

bool is_silent(const token_pool_state& pools, host_id host)
{
    const auto found = pools.contacts.find(host);
    return found != pools.contacts.end() &&
           found->second.silent_since != time_point{};
}

bool is_declined(const rates_context& context, host_id host)
{
    const auto& contacts = context.state.pools.contacts;
    const auto found = contacts.find(host);
    return found != contacts.end() &&
           context.now < found->second.declined_until;
}

std::optional<duration>
silence_of_pools(const rates_context& context, std::uint32_t shard)
{
    const auto& pools = context.state.pools;
    duration silence = duration::max();
    for (const host_id host : pools.hosts.local[shard])
    {
        if (!is_silent(pools, host))
        {
            return std::nullopt;
        }
        silence = std::min(
            silence, context.now - pools.contacts.at(host).silent_since);
    }
    return pools.hosts.local[shard].empty() ? duration::zero() : silence;
}

} // namespace cyclamenhold
