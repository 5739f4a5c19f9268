// When a peer link sends heartbeats, and when its silence means that requests
// avoid the peer or that the link is given up. The host that dialled the link
// sends the heartbeats and the other one answers them.
#pragma once

#include "core/base/time.hpp"

#include <cstdint>

namespace cyclamenhold
{

// Interval of heartbeats, on idle links too: they detect that a link is silent
// before a request is sent over it. They are sent beside other frames as well,
// so that a peer always has several hundred milliseconds for its answer before
// peer_avoidance_timeout.
constexpr duration heartbeat_interval = 250ms;
// New requests avoid a peer that has been silent for this time although it has
// frames to answer: another host costs them nothing, while requests under way
// may still be answered.
constexpr duration peer_avoidance_timeout = 600ms;
// A link that has been silent for this time is closed.
constexpr duration link_timeout = 2s;
struct link_health
{
    bool is_dialled_here = false;
    time_point last_received_at{};
    // The oldest heartbeat or request since the last frame from the peer; zero
    // if there is none.
    time_point unanswered_since{};
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

// Must be called before the functions below at each check. If the last check is
// much longer ago than heartbeat_interval, this process was paused: the time
// does not count as silence of the peer, whose frames may still be unread.
void begin_link_check(link_health& health, time_point now);

// Records a frame from the peer.
void record_link_receive(link_health& health, time_point now);

// Records a request or a heartbeat that the peer has to answer.
void record_link_send(link_health& health, time_point now);

[[nodiscard]] link_state
state_of_link(const link_health& health, time_point now);

} // namespace cyclamenhold
