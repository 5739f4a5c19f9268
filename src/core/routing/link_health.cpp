#include "core/routing/link_health.hpp"

#include <utility>

namespace cyclamenhold
{

void begin_link_check(link_health& health, time_point now)
{
    constexpr duration longest_gap = heartbeat_interval + 500ms;
    const time_point last = std::exchange(health.last_checked_at, now);
    const duration gap = now - last;
    if (last != time_point{} && gap > longest_gap)
    {
        health.last_received_at += gap;
    }
}

link_state state_of_link(const link_health& health, time_point now)
{
    const duration silence = now - health.last_received_at;
    return silence > link_timeout             ? link_state::silent
           : silence > peer_avoidance_timeout ? link_state::avoided
                                              : link_state::healthy;
}

} // namespace cyclamenhold
