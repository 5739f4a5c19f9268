// One attempt at a request, between the side that has the caller's connection
// and the side that reaches the upstream; the two may be on different threads,
// or, with a peer link in between, on different hosts.
#pragma once

#include "core/base/request_context.hpp"
#include "wire/frame_codec.hpp"

#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace cyclamenhold
{

namespace asio = boost::asio;

// The largest piece of a body that is moved at once, and the most that is sent
// before the upstream's node says that the request has started. A request body
// that fits can be sent again to another upstream.
constexpr std::size_t max_chunk_bytes = 64 * 1024;

// A piece of the request's body. The body is whole when `last` was seen; a
// channel that closes before is a body that was cut.
struct body_chunk
{
    std::string bytes;
    bool last = false;
};

// What comes back. The first event is a start, a head or a failure; `last`
// ends a whole reply, `failure` ends one that is not whole.
struct reply_event
{
    // The upstream has been handed the request; more of its body may be sent.
    bool started = false;
    std::optional<reply_head> head;
    std::string bytes;
    bool last = false;
    std::optional<stream_failure> failure;
    std::optional<load_report> load;
    std::uint16_t returned_allowance = 0;
};

using body_channel = asio::experimental::concurrent_channel<void(
    boost::system::error_code, body_chunk)>;
using reply_channel = asio::experimental::concurrent_channel<void(
    boost::system::error_code, reply_event)>;

// Chunks held for a slow reader when the writer waits for room.
constexpr std::size_t waiting_chunk_capacity = 4;
// For channels fed by a peer link, which bounds them by bytes of credit.
constexpr std::size_t credited_chunk_capacity = 1 << 16;

struct exchange
{
    exchange(
        const asio::any_io_executor& executor, std::size_t body_capacity,
        std::size_t reply_capacity)
        : body(executor, body_capacity), reply(executor, reply_capacity)
    {
    }

    request_context context;
    request_head head;
    // The incarnation of the host the request is meant for.
    incarnation target_incarnation = 0;
    body_channel body;
    reply_channel reply;
    // Called by the reader of a channel that a peer link feeds.
    std::function<void(std::size_t)> on_body_consumed;
    std::function<void(std::size_t)> on_reply_consumed;
    // No byte has been handed to an upstream connection yet.
    std::atomic<bool> unsent{true};
    std::atomic<bool> cancelled{false};

    std::mutex mutex;
    // Set by the side that runs the request; stops its work. Guarded by mutex.
    std::function<void()> abort;
};

using exchange_ptr = std::shared_ptr<exchange>;

// Sets what stops the running side; called at once if already cancelled.
inline void set_abort(exchange& exchange, std::function<void()> abort)
{
    {
        const std::scoped_lock lock(exchange.mutex);
        if (!exchange.cancelled)
        {
            exchange.abort = std::move(abort);
            return;
        }
    }
    if (abort)
    {
        abort();
    }
}

// The caller's side has gone: both channels close and the running side stops.
inline void cancel(exchange& exchange)
{
    std::function<void()> abort;
    {
        const std::scoped_lock lock(exchange.mutex);
        if (exchange.cancelled.exchange(true))
        {
            return;
        }
        abort = std::move(exchange.abort);
        exchange.abort = nullptr;
    }
    exchange.body.close();
    exchange.reply.close();
    if (abort)
    {
        abort();
    }
}

// Ends the exchange with a failure. Does not wait; the channel keeps room for
// it since a failure comes first or after the reader has drained the rest.
inline void fail(
    exchange& exchange, const stream_failure& failure,
    const std::optional<load_report>& load = std::nullopt,
    std::uint16_t returned_allowance = 0)
{
    reply_event event;
    event.failure = failure;
    event.load = load;
    event.returned_allowance = returned_allowance;
    if (!exchange.reply.try_send(boost::system::error_code(), event))
    {
        exchange.reply.close();
    }
}

} // namespace cyclamenhold
