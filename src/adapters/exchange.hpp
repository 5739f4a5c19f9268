// One attempt at a request: channels between the side that holds the caller's
// connection and the side that sends to the upstream. The two may be on
// different threads or, connected by a peer link, on different hosts.
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

// The largest piece of a body that is forwarded at once, and the most that is
// sent before the upstream's node reports that the request has started. A
// request body of at most this size can be sent again to another upstream.
constexpr std::size_t max_chunk_bytes = 64 * 1024;

// A piece of the request's body. The body is complete with `last`; a channel
// that closes before `last` means that the body was truncated.
struct body_chunk
{
    std::string bytes;
    bool last = false;
};

// A part of the reply. The first event is a start, a head or a failure; `last`
// ends a complete reply, `failure` an incomplete one.
struct reply_event
{
    // The upstream is receiving the request; more of its body may be sent.
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

// Chunks queued for a slow reader before the writer has to wait.
constexpr std::size_t waiting_chunk_capacity = 4;
// For channels fed by a peer link, which limits them by its credit in bytes.
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
    // The incarnation of the host to which the request is addressed.
    incarnation target_incarnation = 0;
    body_channel body;
    reply_channel reply;
    // Called by the reader of a channel that a peer link feeds, with the number
    // of bytes consumed.
    std::function<void(std::size_t)> on_body_consumed;
    std::function<void(std::size_t)> on_reply_consumed;
    // No byte has been sent on an upstream connection yet.
    std::atomic<bool> unsent{true};
    std::atomic<bool> cancelled{false};

    std::mutex mutex;
    // Set by the side that runs the request; stops that side. Guarded by mutex.
    std::function<void()> abort;
};

using exchange_ptr = std::shared_ptr<exchange>;

// Sets the function that stops the running side; calls it at once if the
// exchange is already cancelled.
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

// Cancels the exchange from the caller's side: closes both channels and stops
// the running side. Later calls have no effect.
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

// Ends the exchange with a failure. Does not wait: the channel has room,
// because a failure is the first event or follows events that the reader has
// consumed. A channel without room is closed.
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
