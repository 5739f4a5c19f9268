// Announces a stand-in upstream to its own node, and stops it gracefully.
#pragma once

#include "upstream_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace cyclamenhold
{

// Announces the upstream at `listening` to its node every second until it
// stops; a failed announcement is repeated after 100 ms.
[[nodiscard]] boost::asio::awaitable<void> announce_upstream(
    std::shared_ptr<upstream_state> upstream,
    boost::asio::ip::tcp::endpoint listening);

// Drains at the node, waits until no request has arrived for 300 ms and none is
// running or queued, leaves the node, and stops the context. The wait is
// bounded by the settings' stop time.
[[nodiscard]] boost::asio::awaitable<void> stop_upstream(
    std::shared_ptr<upstream_state> upstream,
    boost::asio::ip::tcp::endpoint listening);

} // namespace cyclamenhold
