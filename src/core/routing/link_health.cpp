#include "core/routing/link_health.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenhold
{

void begin_link_check(link_health& health, time_point now)
{
    constexpr duration longest_gap = idle_heartbeat_interval + 500ms;
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

duration link_check_interval(const link_health& health, bool is_busy)
{
    const bool is_waiting = health.unanswered_since != time_point{};
    return is_busy || is_waiting ? busy_heartbeat_interval
                                 : idle_heartbeat_interval;
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

link_state
state_of_link(const link_health& health, bool is_busy, time_point now)
{
    if (!health.is_dialled_here)
    {
        const duration limit = is_busy ? link_timeout : idle_link_timeout;
        return now - health.last_received_at > limit ? link_state::silent
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

bool is_heartbeat_due(const link_health& health, bool is_busy, time_point now)
{
    if (!health.is_dialled_here)
    {
        return false;
    }
    const duration interval =
        is_busy ? busy_heartbeat_interval : idle_heartbeat_interval;
    return now - std::max(health.last_received_at, health.last_heartbeat_at) >=
           interval;
}

} // namespace cyclamenhold
