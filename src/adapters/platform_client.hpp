// An asynchronous client of the platform's HTTP interface. All calls and
// callbacks run on the executor of the client, which must be single-threaded.
#pragma once

#include "core/base/random.hpp"
#include "core/base/time.hpp"
#include "ports/platform.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace cyclamenhold
{

struct platform_connection_settings
{
    boost::asio::ip::tcp::endpoint endpoint;
    // One for each subsystem that may have a call without an answer.
    std::size_t connections = 4;
    // Watches have separate connections, which they occupy while they wait.
    std::size_t watch_connections = 4;
    // Calls beyond this number are answered `unavailable` at once.
    std::size_t max_pending_calls = 1'000;
    // After a failure no call is sent for a random time up to a bound, which
    // doubles from the initial to the maximum backoff. It only spreads the
    // calls of many nodes: each client of the platform has a backoff of its
    // own, and this one delays those that have not failed.
    duration initial_backoff = 50ms;
    duration max_backoff = 250ms;
    std::uint64_t seed = 1;
    platform_codec codec;
};

using platform_callback = std::function<void(platform_reply)>;

struct platform_connections;

// Makes a client; connections are opened on demand.
[[nodiscard]] std::shared_ptr<platform_connections> make_platform_connections(
    const boost::asio::any_io_executor& executor,
    const platform_connection_settings& settings);

// Sends a call. The callback runs exactly once, never from inside this
// function, at the latest at the call's timeout (for a watch, its wait plus
// timeout), unless the executor's context stops first.
void platform_client_send(
    const std::shared_ptr<platform_connections>& client, platform_call call,
    platform_callback callback);

} // namespace cyclamenhold
