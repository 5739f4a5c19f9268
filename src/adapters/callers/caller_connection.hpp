// A caller's connection and the requests on it. A caller may send further
// requests before the first is answered: those that may be repeated run side by
// side, up to a bound, and are answered in the order in which they were sent.
// All functions run on the thread of the connection.
#pragma once

#include "adapters/exchange.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace cyclamenhold
{

struct request_thread;
struct caller_request;

using caller_parser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;

// The requests of one connection that run at once. Each holds a reply of at
// most max_chunk_bytes, and the pieces of a longer one that its channel takes.
constexpr std::size_t max_open_requests = 8;

struct caller_connection : std::enable_shared_from_this<caller_connection>
{
    caller_connection(request_thread& owner, asio::ip::tcp::socket socket);

    request_thread& thread;
    boost::beast::tcp_stream stream;
    // Bounded: a line that begins a chunk of a body may come without end.
    boost::beast::flat_buffer buffer;
    // The requests without a complete reply, in the order in which they came.
    std::deque<std::shared_ptr<caller_request>> open;
    // Wakes the reader when a request has ended.
    asio::steady_timer ended;
    // Ends a connection on which nothing happens.
    asio::steady_timer idle_limit;
    time_point idle_since{};
    // The reader waits for the first byte of a request, so that it notices the
    // caller's disconnection.
    bool is_reading = false;
    // A wait for the caller's disconnection is pending.
    bool watching = false;
    bool disconnected = false;
    // No further reply can be written.
    bool must_close = false;
    // A reply is being written whose end has not arrived. If it is truncated,
    // the connection must end.
    bool is_streaming = false;
};

// A request that was read from a connection.
struct caller_request
{
    explicit caller_request(std::shared_ptr<caller_connection> on);

    std::shared_ptr<caller_connection> connection;
    request_thread& thread;
    std::unique_ptr<caller_parser> parser;
    // The first bytes of the body, at most max_chunk_bytes.
    std::string prefix;
    // The body has been read to its end.
    bool body_complete = false;
    // The reader goes on while the request runs, and detects a disconnection.
    bool runs_beside_reader = false;
    // The attempt in progress; cancelled when the caller disconnects.
    std::weak_ptr<exchange> current;
    // Ends when all requests before this one have been answered.
    asio::steady_timer turn;
};

using caller_ptr = std::shared_ptr<caller_request>;

// Adds a request to those that are open.
void open_request(const caller_ptr& request);

// Waits until the replies to all earlier requests have been written. False if
// the connection has ended: nothing is to be written any more.
[[nodiscard]] asio::awaitable<bool> wait_for_turn(caller_ptr request);

// Whether the reply to this request may leave the connection open. One that is
// followed by requests that already run does, so that these are answered too.
[[nodiscard]] bool has_followers(const caller_request& request);

// Ends a request. If its reply closes the connection, those behind it are
// cancelled: they count as not read.
void close_request(const caller_ptr& request);

// Waits until fewer than `count` requests are open. Nothing is read meanwhile.
[[nodiscard]] asio::awaitable<void>
wait_for_open(std::shared_ptr<caller_connection> connection, std::size_t count);

// Waits until no reply that may still be truncated is being written. Requests
// behind it that run would lose their replies with the connection.
[[nodiscard]] asio::awaitable<void>
wait_for_stream(std::shared_ptr<caller_connection> connection);

// Begins and ends the time after which a connection without requests is closed.
void begin_idle(caller_connection& connection);
void end_idle(caller_connection& connection);

// Closes a connection that is idle. One whose next request has arrived is
// spared, since that request may already run when the connection ends.
void close_if_idle(caller_connection& connection);

// Detects the caller's disconnection while nothing is read from the connection.
void watch_for_disconnect(const std::shared_ptr<caller_connection>& connection);

// Records that the caller has left, and cancels all open requests.
void disconnect(caller_connection& connection);

} // namespace cyclamenhold
