// When the silence of a peer link means that requests avoid the peer or that
// the link is given up. The host that dialled the link sends heartbeats and the
// other one answers them.
#pragma once

#include "core/base/time.hpp"

#include <cstdint>

namespace cyclamenhold
{

// Interval of heartbeats, on idle links too: they detect that a link is silent
// before a request is sent over it.
constexpr duration heartbeat_interval = 250ms;
// New requests avoid a peer from which nothing was received for this time:
// another host costs them nothing, while requests under way may still be
// answered.
constexpr duration peer_avoidance_timeout = 600ms;
// A link on which nothing was received for this time is closed.
constexpr duration link_timeout = 2s;

struct link_health
{
    time_point last_received_at{};
    time_point last_checked_at{};
};

enum class link_state : std::uint8_t
{
    healthy,
    // New requests avoid the peer.
    avoided,
    // The link is given up.
    silent
};

// Must be called at each check, before state_of_link. If the last check is much
// longer ago than heartbeat_interval, this process was paused: the time does
// not count as silence of the peer, whose frames may still be unread.
void begin_link_check(link_health& health, time_point now);

[[nodiscard]] link_state
state_of_link(const link_health& health, time_point now);

} // namespace cyclamenhold
