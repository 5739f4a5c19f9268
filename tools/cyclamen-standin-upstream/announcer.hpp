// Keeps a stand-in upstream announced at its own node, and stops it gracefully.
#pragma once

#include "upstream_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace cyclamenhold
{

// Announces the upstream at `listening` every second until it stops.
[[nodiscard]] boost::asio::awaitable<void> announce_upstream(
    std::shared_ptr<upstream_state> upstream,
    boost::asio::ip::tcp::endpoint listening);

// Drains at the node, waits until no request comes or runs any more, leaves,
// and stops the context; at the latest after the settings' stop time.
[[nodiscard]] boost::asio::awaitable<void> stop_upstream(
    std::shared_ptr<upstream_state> upstream,
    boost::asio::ip::tcp::endpoint listening);

} // namespace cyclamenhold
