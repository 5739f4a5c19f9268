#include "core/routing/link_health.hpp"

#include <utility>

namespace cyclamenhold
{

void begin_link_check(link_health& health, time_point now)
{
    constexpr duration longest_gap = heartbeat_interval + 500ms;
    const time_point last = std::exchange(health.last_checked_at, now);
    const duration gap = now - last;
    if (last == time_point{} || gap <= longest_gap)
    {
        return;
    }
    health.last_received_at += gap;
    if (health.unanswered_since != time_point{})
    {
        health.unanswered_since += gap;
    }
}

void record_link_receive(link_health& health, time_point now)
{
    health.last_received_at = now;
    health.unanswered_since = {};
}

void record_link_send(link_health& health, time_point now)
{
    if (health.unanswered_since == time_point{})
    {
        health.unanswered_since = now;
    }
}

link_state state_of_link(const link_health& health, time_point now)
{
    if (!health.is_dialled_here)
    {
        return now - health.last_received_at > link_timeout
                   ? link_state::silent
                   : link_state::healthy;
    }
    if (health.unanswered_since == time_point{})
    {
        return link_state::healthy;
    }
    const duration silence = now - health.unanswered_since;
    return silence > link_timeout             ? link_state::silent
           : silence > peer_avoidance_timeout ? link_state::avoided
                                              : link_state::healthy;
}

} // namespace cyclamenhold
