// Sessions on callers' connections: HTTP/1.1 with keep-alive, limits and
// timeouts. The same session serves the loopback port on which the local
// upstream sends its announcements and child calls.
#pragma once

#include "adapters/call_driver.hpp"
#include "core/routing/upstream.hpp"

#include <functional>

namespace cyclamenhold
{

enum class session_side : std::uint8_t
{
    callers,
    upstream
};

// Functions of the node that sessions on the upstream's port call.
struct upstream_port
{
    std::function<void(const upstream_announcement&)> announce;
    std::function<void(const upstream_departure&)> drain;
    std::function<void(const upstream_departure&)> leave;
};

struct session_settings
{
    session_side side = session_side::callers;
    upstream_port* upstream = nullptr;
};

// Serves one connection until it ends.
[[nodiscard]] asio::awaitable<void> serve_caller(
    std::shared_ptr<caller_connection> connection, session_settings settings);

} // namespace cyclamenhold
