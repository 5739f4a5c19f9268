#include "adapters/callers/caller_connection.hpp"

#include "adapters/call_driver.hpp"
#include "adapters/clock.hpp"

#include <algorithm>

#include <poll.h>
#include <sys/socket.h>

namespace cyclamenhold
{
namespace
{

void wake_next(caller_connection& connection)
{
    if (connection.disconnected || connection.must_close)
    {
        for (const auto& request : connection.open)
        {
            request->turn.cancel();
        }
        return;
    }
    if (!connection.open.empty())
    {
        connection.open.front()->turn.cancel();
    }
}

// Whether the caller has closed the connection, also if bytes before the close
// have not been read.
bool has_left(caller_connection& connection)
{
    pollfd state{connection.stream.socket().native_handle(), POLLRDHUP, 0};
    char byte = 0;
    return (::poll(&state, 1, 0) > 0 && state.revents != 0) ||
           ::recv(state.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

// Watches a connection with bytes that are not read yet, which a wait for
// readability does not outlast.
void watch_behind_bytes(const std::shared_ptr<caller_connection>& connection)
{
    constexpr std::chrono::milliseconds interval{100};
    connection->watching = true;
    auto timer = std::make_shared<asio::steady_timer>(
        connection->thread.io.get_executor(), interval);
    timer->async_wait(
        [connection, timer](const boost::system::error_code& error)
        {
            connection->watching = false;
            if (!error && !connection->open.empty() &&
                !connection->disconnected && !connection->is_reading)
            {
                watch_for_disconnect(connection);
            }
        });
}

// The operators' limit, or else the node's own.
duration idle_timeout_of(const caller_connection& connection)
{
    const node_services& services = connection.thread.services;
    const duration configured =
        services.path.tables.read()->limits.idle_timeout;
    return configured > duration::zero() ? configured
                                         : services.limits.idle_timeout;
}

// Closes the connection when the limit runs out. If operators extend it
// meanwhile, the new one counts; if they shorten it, the caller may still rely
// on the former one.
void arm_idle_limit(caller_connection& connection)
{
    connection.idle_limit.expires_at(
        connection.idle_since + idle_timeout_of(connection));
    connection.idle_limit.async_wait(
        [held = connection.shared_from_this()](
            const boost::system::error_code& error)
        {
            // A wait that ended together with the idle time can't be cancelled
            // any more.
            if (error || held->idle_limit.expiry() > now())
            {
                return;
            }
            if (held->idle_since + idle_timeout_of(*held) > now())
            {
                arm_idle_limit(*held);
                return;
            }
            close_if_idle(*held);
        });
}

} // namespace

caller_connection::caller_connection(
    request_thread& owner, asio::ip::tcp::socket socket)
    : thread(owner),
      stream(std::move(socket)),
      buffer(owner.services.limits.max_header_bytes + max_chunk_bytes),
      ended(owner.io.get_executor(), asio::steady_timer::time_point::max()),
      idle_limit(owner.io.get_executor())
{
}

caller_request::caller_request(std::shared_ptr<caller_connection> on)
    : connection(std::move(on)),
      thread(connection->thread),
      turn(thread.io.get_executor(), asio::steady_timer::time_point::max())
{
}

void open_request(const caller_ptr& request)
{
    request->connection->open.push_back(request);
}

asio::awaitable<bool> wait_for_turn(caller_ptr request)
{
    const caller_connection& connection = *request->connection;
    while (!connection.disconnected && !connection.must_close &&
           !connection.open.empty() && connection.open.front() != request)
    {
        co_await request->turn.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return !connection.disconnected && !connection.must_close;
}

bool has_followers(const caller_request& request)
{
    const auto& open = request.connection->open;
    return !open.empty() && open.back().get() != &request;
}

void close_request(const caller_ptr& request)
{
    caller_connection& connection = *request->connection;
    std::erase(connection.open, request);
    connection.ended.cancel();
    if (connection.must_close && !connection.open.empty())
    {
        // What is behind a reply that closes the connection counts as not read.
        disconnect(connection);
    }
    if (connection.must_close && connection.is_reading)
    {
        connection.stream.cancel();
    }
    wake_next(connection);
    if (connection.open.empty() && connection.is_reading &&
        !connection.must_close && !connection.disconnected)
    {
        begin_idle(connection);
    }
}

asio::awaitable<void>
wait_for_open(std::shared_ptr<caller_connection> connection, std::size_t count)
{
    if (connection->open.size() >= count)
    {
        watch_for_disconnect(connection);
    }
    while (connection->open.size() >= count)
    {
        co_await connection->ended.async_wait(
            asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void>
wait_for_stream(std::shared_ptr<caller_connection> connection)
{
    if (connection->is_streaming)
    {
        watch_for_disconnect(connection);
    }
    while (connection->is_streaming && !connection->must_close &&
           !connection->disconnected)
    {
        co_await connection->ended.async_wait(
            asio::as_tuple(asio::use_awaitable));
    }
}

void begin_idle(caller_connection& connection)
{
    connection.thread.idle.insert(connection.shared_from_this());
    connection.idle_since = now();
    arm_idle_limit(connection);
}

void end_idle(caller_connection& connection)
{
    connection.thread.idle.erase(connection.shared_from_this());
    connection.idle_limit.cancel();
}

void close_if_idle(caller_connection& connection)
{
    boost::system::error_code error;
    const bool has_arrived = connection.stream.socket().available(error) > 0;
    if (connection.is_reading && connection.open.empty() && !has_arrived)
    {
        // Has no effect on a read that has received bytes.
        connection.stream.cancel();
    }
}

// A wait that is still pending after its request completes on the first byte of
// the next one.
void watch_for_disconnect(const std::shared_ptr<caller_connection>& connection)
{
    if (connection->watching)
    {
        return;
    }
    connection->watching = true;
    auto& socket = connection->stream.socket();
    socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        [connection](const boost::system::error_code& error)
        {
            connection->watching = false;
            if (error || has_left(*connection))
            {
                disconnect(*connection);
            }
            else if (!connection->open.empty())
            {
                watch_behind_bytes(connection);
            }
        });
}

void disconnect(caller_connection& connection)
{
    connection.disconnected = true;
    for (const auto& request : connection.open)
    {
        if (const auto work = request->current.lock())
        {
            cancel(*work);
        }
    }
    wake_next(connection);
}

} // namespace cyclamenhold
