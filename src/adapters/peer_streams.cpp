#include "adapters/peer_streams.hpp"

#include "adapters/clock.hpp"

namespace cyclamenhold
{
namespace
{

asio::any_io_executor executor_of(const peer_link& link)
{
    return link.connection->socket.get_executor();
}

void finish_stream(peer_link& link, std::uint64_t id)
{
    const auto found = link.streams.find(id);
    if (found == link.streams.end())
    {
        return;
    }
    found->second->finished = true;
    found->second->credit_signal.cancel();
    link.streams.erase(found);
}

// Waits until `size` bytes may be sent. Returns false when the stream or the
// link has ended.
asio::awaitable<bool>
wait_for_credit(peer_link_ptr link, peer_stream_ptr stream, std::size_t size)
{
    while (!stream->finished && !link->connection->closed &&
           stream->credit < static_cast<std::int64_t>(size))
    {
        stream->credit_signal.expires_at(time_point::max());
        co_await stream->credit_signal.async_wait(
            asio::as_tuple(asio::use_awaitable));
    }
    stream->credit -= static_cast<std::int64_t>(size);
    co_await wait_for_send_capacity(*link->connection);
    co_return !stream->finished && !link->connection->closed;
}

// Sends a piece of a body, followed by the end frame if it is the last one.
// `bytes` must outlive the call.
asio::awaitable<bool> send_piece(
    peer_link_ptr link, peer_stream_ptr stream, std::uint64_t id,
    const std::string& bytes, bool last)
{
    if (!bytes.empty())
    {
        const bool open = co_await wait_for_credit(link, stream, bytes.size());
        if (!open)
        {
            co_return false;
        }
        stream->sent.add(bytes);
        encode_stream_data(link->connection->pending, id, bytes);
    }
    if (last)
    {
        encode_stream_end(
            link->connection->pending, id, stream->sent.length,
            stream->sent.checksum());
    }
    flush(link->connection);
    co_return true;
}

// Sends the request's body to the peer, until its end or until the channel is
// closed.
asio::awaitable<void>
pump_body(peer_link_ptr link, peer_stream_ptr stream, std::uint64_t id)
{
    bool last = false;
    std::string piece;
    while (!last)
    {
        auto [error, chunk] = co_await stream->work->body.async_receive(
            asio::as_tuple(asio::use_awaitable));
        if (error)
        {
            break;
        }
        last = chunk.last;
        piece = std::move(chunk.bytes);
        const bool sent = co_await send_piece(link, stream, id, piece, last);
        if (!sent)
        {
            co_return;
        }
    }
}

// Grants credit to the sender of a body for the bytes that this node has
// consumed.
void grant_consumed(
    const peer_link_ptr& link, const peer_stream_ptr& stream, std::uint64_t id,
    std::size_t bytes)
{
    if (stream->finished || link->connection->closed)
    {
        return;
    }
    stream->consumed += static_cast<std::uint32_t>(bytes);
    if (stream->consumed < max_chunk_bytes)
    {
        return;
    }
    encode_stream_credit(link->connection->pending, id, stream->consumed);
    stream->receive_credit += stream->consumed;
    stream->consumed = 0;
    flush(link->connection);
}

std::function<void(std::size_t)> make_consumed_hook(
    const peer_link_ptr& link, const peer_stream_ptr& stream, std::uint64_t id)
{
    return [weak = std::weak_ptr(link), stream = std::weak_ptr(stream),
            executor = executor_of(*link), id](std::size_t bytes)
    {
        asio::dispatch(
            executor,
            [weak, stream, id, bytes]
            {
                const auto link = weak.lock();
                const auto target = stream.lock();
                if (link && target)
                {
                    grant_consumed(link, target, id, bytes);
                }
            });
    };
}

void send_reply_event(
    const peer_link_ptr& link, std::uint64_t id, const reply_event& event)
{
    auto& pending = link->connection->pending;
    const load_report load = event.load.value_or(load_report{});
    if (event.failure)
    {
        encode_stream_failed(
            pending, id, *event.failure, load, event.returned_allowance);
    }
    else if (event.head)
    {
        encode_reply_head(
            pending, id, *event.head, load, event.returned_allowance,
            link->services.stamp_send());
    }
}

// Grants the peer the full window for the body of a request that has started.
void grant_stream_window(
    const peer_link_ptr& link, const peer_stream_ptr& stream, std::uint64_t id)
{
    stream->receive_credit += stream_window_bytes;
    encode_stream_credit(link->connection->pending, id, stream_window_bytes);
    flush(link->connection);
}

// Sends the reply of a request that was received from the peer.
asio::awaitable<void>
pump_reply(peer_link_ptr link, peer_stream_ptr stream, std::uint64_t id)
{
    bool done = false;
    std::string piece;
    while (!done && !link->connection->closed)
    {
        auto [error, event] = co_await stream->work->reply.async_receive(
            asio::as_tuple(asio::use_awaitable));
        if (stream->finished || link->connection->closed)
        {
            co_return;
        }
        if (error)
        {
            event.failure = stream_failure{};
        }
        if (event.started)
        {
            grant_stream_window(link, stream, id);
            continue;
        }
        send_reply_event(link, id, event);
        done = event.last || event.failure.has_value();
        if (event.failure)
        {
            flush(link->connection);
            break;
        }
        piece = std::move(event.bytes);
        const bool sent =
            co_await send_piece(link, stream, id, piece, event.last);
        if (!sent)
        {
            co_return;
        }
    }
    cancel(*stream->work);
    finish_stream(*link, id);
}

void record_bad_frame(const peer_link& link, std::string detail)
{
    event new_event;
    new_event.kind = event_kind::bad_input;
    new_event.peer = link.connection->peer;
    new_event.detail = std::move(detail);
    link.services.record(new_event);
}

// Starts a request that the peer opened.
void accept_stream(const peer_link_ptr& link, const wire::open_stream& open)
{
    const std::uint64_t id = open.stream();
    if (link->streams.contains(id))
    {
        record_bad_frame(*link, "a stream id was used twice");
        end_link(link);
        return;
    }
    const auto executor = executor_of(*link);
    auto work = std::make_shared<exchange>(
        executor, credited_chunk_capacity, waiting_chunk_capacity);
    work->context = context_of(open, now());
    work->head = head_of(open);
    work->target_incarnation = open.target_incarnation();
    auto stream = std::make_shared<peer_stream>(work, executor);
    stream->credit = stream_window_bytes;
    stream->receive_credit = max_chunk_bytes;
    work->on_body_consumed = make_consumed_hook(link, stream, id);
    link->streams.emplace(id, stream);
    asio::co_spawn(executor, pump_reply(link, stream, id), asio::detached);
    link->services.run_local(work);
}

// Ends a stream after a protocol error, a wrong checksum or a full channel.
void abort_stream(
    const peer_link_ptr& link, const peer_stream_ptr& stream, std::uint64_t id)
{
    if (stream->opened_here)
    {
        fail(*stream->work, {refusal::upstream_failed, outcome::unknown});
        encode_cancel_stream(link->connection->pending, id);
        flush(link->connection);
    }
    else
    {
        cancel(*stream->work);
    }
    finish_stream(*link, id);
}

void deliver(
    const peer_link_ptr& link, const peer_stream_ptr& stream, std::uint64_t id,
    std::string bytes, bool last)
{
    bool sent = false;
    if (stream->opened_here)
    {
        reply_event event;
        event.bytes = std::move(bytes);
        event.last = last;
        sent = stream->work->reply.try_send(
            boost::system::error_code(), std::move(event));
    }
    else
    {
        sent = stream->work->body.try_send(
            boost::system::error_code(), body_chunk{std::move(bytes), last});
    }
    if (!sent)
    {
        abort_stream(link, stream, id);
    }
}

void on_data(
    const peer_link_ptr& link, const peer_stream_ptr& stream,
    const wire::stream_data& data)
{
    const std::string_view bytes(
        reinterpret_cast<const char*>(data.bytes()->data()),
        data.bytes()->size());
    stream->receive_credit -= static_cast<std::int64_t>(bytes.size());
    if (stream->receive_credit < 0)
    {
        record_bad_frame(*link, "a body exceeds its flow-control credit");
        abort_stream(link, stream, data.stream());
        return;
    }
    stream->received.add(bytes);
    deliver(link, stream, data.stream(), std::string(bytes), false);
}

void on_end(
    const peer_link_ptr& link, const peer_stream_ptr& stream,
    const wire::stream_end& end)
{
    if (end.length() != stream->received.length ||
        end.checksum() != stream->received.checksum())
    {
        record_bad_frame(*link, "a body does not match its length or checksum");
        abort_stream(link, stream, end.stream());
        return;
    }
    deliver(link, stream, end.stream(), {}, true);
    if (stream->opened_here)
    {
        finish_stream(*link, end.stream());
    }
}

void on_credit(const peer_stream_ptr& stream, const wire::stream_credit& credit)
{
    stream->credit += credit.bytes();
    stream->credit_signal.cancel();
    if (stream->opened_here && !stream->started)
    {
        stream->started = true;
        reply_event event;
        event.started = true;
        stream->work->reply.try_send(boost::system::error_code(), event);
    }
}

void on_reply_head(
    const peer_link_ptr& link, const peer_stream_ptr& stream,
    const wire::reply_head& reply)
{
    reply_event event;
    event.head = head_of(reply);
    event.load = load_of(reply);
    event.returned_allowance = reply.returned_allowance();
    if (!stream->work->reply.try_send(
            boost::system::error_code(), std::move(event)))
    {
        abort_stream(link, stream, reply.stream());
    }
}

void on_failed(
    const peer_link_ptr& link, const peer_stream_ptr& stream,
    const wire::stream_failed& failed)
{
    fail(
        *stream->work, failure_of(failed), load_of(failed.load()),
        failed.returned_allowance());
    finish_stream(*link, failed.stream());
}

peer_stream_ptr find_stream(const peer_link& link, std::uint64_t id)
{
    const auto found = link.streams.find(id);
    return found == link.streams.end() ? nullptr : found->second;
}

// Calls the handler with the frame's stream. Drops frames of streams that have
// ended, which may arrive late, and those of the wrong direction.
template <class Frame, class Handler>
void with_stream(
    const peer_link_ptr& link, const Frame& frame, bool opened_here,
    const Handler& handler)
{
    const auto stream = find_stream(*link, frame.stream());
    if (stream && stream->opened_here == opened_here)
    {
        handler(stream);
    }
}

void on_heartbeat(const peer_link_ptr& link, const wire::heartbeat& heartbeat)
{
    if (!heartbeat.reply())
    {
        encode_heartbeat(link->connection->pending, heartbeat.sequence(), true);
        flush(link->connection);
    }
}

void on_control(const peer_link_ptr& link, const wire::control_message& message)
{
    const auto* payload = message.payload();
    link->services.on_control_message(
        link->connection->peer, static_cast<message_kind>(message.kind()),
        {payload->begin(), payload->end()});
}

// Returns false for a frame that is not allowed on an established link.
bool dispatch_frame(const peer_link_ptr& link, const wire::frame& frame)
{
    if (frame.clock() != 0)
    {
        link->services.record_receive(static_cast<hybrid_time>(frame.clock()));
    }
    switch (frame.body_type())
    {
    case wire::frame_body::open_stream:
        if (!link->dialled_here)
        {
            accept_stream(link, *frame.body_as_open_stream());
        }
        return !link->dialled_here;
    case wire::frame_body::stream_data:
        with_stream(
            link, *frame.body_as_stream_data(), link->dialled_here,
            [&](const peer_stream_ptr& stream)
            {
                on_data(link, stream, *frame.body_as_stream_data());
            });
        return true;
    case wire::frame_body::stream_end:
        with_stream(
            link, *frame.body_as_stream_end(), link->dialled_here,
            [&](const peer_stream_ptr& stream)
            {
                on_end(link, stream, *frame.body_as_stream_end());
            });
        return true;
    case wire::frame_body::stream_credit:
        with_stream(
            link, *frame.body_as_stream_credit(), link->dialled_here,
            [&](const peer_stream_ptr& stream)
            {
                on_credit(stream, *frame.body_as_stream_credit());
            });
        return true;
    case wire::frame_body::cancel_stream:
        with_stream(
            link, *frame.body_as_cancel_stream(), false,
            [&](const peer_stream_ptr& stream)
            {
                cancel(*stream->work);
                finish_stream(*link, frame.body_as_cancel_stream()->stream());
            });
        return true;
    case wire::frame_body::reply_head:
        with_stream(
            link, *frame.body_as_reply_head(), true,
            [&](const peer_stream_ptr& stream)
            {
                on_reply_head(link, stream, *frame.body_as_reply_head());
            });
        return true;
    case wire::frame_body::stream_failed:
        with_stream(
            link, *frame.body_as_stream_failed(), true,
            [&](const peer_stream_ptr& stream)
            {
                on_failed(link, stream, *frame.body_as_stream_failed());
            });
        return true;
    case wire::frame_body::heartbeat:
        on_heartbeat(link, *frame.body_as_heartbeat());
        return true;
    case wire::frame_body::control_message:
        on_control(link, *frame.body_as_control_message());
        return true;
    case wire::frame_body::going_away:
        link->going_away = true;
        return true;
    default:
        return false;
    }
}

void start_stream(const peer_link_ptr& link, const exchange_ptr& work)
{
    if (work->cancelled)
    {
        return;
    }
    const auto executor = executor_of(*link);
    const std::uint64_t id = link->next_stream++;
    auto stream = std::make_shared<peer_stream>(work, executor);
    stream->opened_here = true;
    stream->credit = max_chunk_bytes;
    stream->receive_credit = stream_window_bytes;
    work->on_reply_consumed = make_consumed_hook(link, stream, id);
    link->streams.emplace(id, stream);
    work->unsent = false;
    encode_open_stream(
        link->connection->pending, id, work->context, work->head,
        work->target_incarnation, now(), link->services.stamp_send());
    set_abort(
        *work,
        [weak = std::weak_ptr(link), executor, id]
        {
            asio::dispatch(
                executor,
                [weak, id]
                {
                    const auto link = weak.lock();
                    if (link && link->streams.contains(id))
                    {
                        encode_cancel_stream(link->connection->pending, id);
                        flush(link->connection);
                        finish_stream(*link, id);
                    }
                });
        });
    asio::co_spawn(executor, pump_body(link, stream, id), asio::detached);
    flush(link->connection);
}

void give_up_silent_link(const peer_link_ptr& link)
{
    event new_event;
    new_event.kind = event_kind::peer_silent;
    new_event.peer = link->connection->peer;
    new_event.detail = "the link is given up";
    link->services.record(new_event);
    end_link(link);
}

asio::awaitable<void> watch_link(peer_link_ptr link)
{
    std::uint64_t sequence = 0;
    link_health& health = link->health;
    while (!link->connection->closed)
    {
        const time_point at = now();
        begin_link_check(health, at);
        const link_state state = state_of_link(health, at);
        if (state == link_state::silent)
        {
            give_up_silent_link(link);
            co_return;
        }
        if (state == link_state::avoided)
        {
            link->services.on_peer_silent(link->connection->peer);
        }
        if (link->dialled_here)
        {
            encode_heartbeat(link->connection->pending, ++sequence, false);
            flush(link->connection);
        }
        link->heartbeat.expires_after(heartbeat_interval);
        co_await link->heartbeat.async_wait(
            asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace

void open_stream(const peer_link_ptr& link, const exchange_ptr& work)
{
    link->last_used_at = now();
    if (link->connection->closed || link->going_away)
    {
        fail(*work, {refusal::no_upstream, outcome::not_run});
        return;
    }
    if (!link->ready)
    {
        link->waiting.push_back(work);
        return;
    }
    start_stream(link, work);
}

void send_control(const peer_link_ptr& link, const outgoing_message& message)
{
    link->last_used_at = now();
    if (link->connection->closed)
    {
        return;
    }
    if (!link->ready)
    {
        link->waiting_messages.push_back(message);
        return;
    }
    encode_control_message(
        link->connection->pending, message.kind, message.payload);
    flush(link->connection);
}

asio::awaitable<void> run_link(peer_link_ptr link)
{
    link->ready = true;
    link->health.last_received_at = now();
    for (const auto& work : std::exchange(link->waiting, {}))
    {
        start_stream(link, work);
    }
    for (const auto& message : std::exchange(link->waiting_messages, {}))
    {
        send_control(link, message);
    }
    asio::co_spawn(executor_of(*link), watch_link(link), asio::detached);
    std::vector<std::uint8_t> payload;
    while (!link->connection->closed)
    {
        const auto status = co_await read_frame(*link->connection, payload);
        if (!status.ok())
        {
            if (absl::IsInvalidArgument(status))
            {
                record_bad_frame(*link, std::string(status.message()));
            }
            break;
        }
        link->health.last_received_at = now();
        const wire::frame* const frame = decode_frame(payload);
        if (frame == nullptr || !dispatch_frame(link, *frame))
        {
            record_bad_frame(*link, "a malformed or unexpected frame");
            break;
        }
    }
    end_link(link);
}

void end_link(const peer_link_ptr& link)
{
    close(*link->connection);
    link->heartbeat.cancel();
    for (const auto& work : std::exchange(link->waiting, {}))
    {
        fail(*work, {refusal::no_upstream, outcome::not_run});
    }
    link->waiting_messages.clear();
    for (auto& [id, stream] : std::exchange(link->streams, {}))
    {
        stream->finished = true;
        stream->credit_signal.cancel();
        if (stream->opened_here)
        {
            fail(*stream->work, {refusal::upstream_failed, outcome::unknown});
        }
        else
        {
            cancel(*stream->work);
        }
    }
}

} // namespace cyclamenhold
