#include "adapters/reply_pieces.hpp"

#include "adapters/http_fields.hpp"

namespace cyclamenhold
{
namespace
{

// Receives the next piece of a reply and appends it to `first`. False when the
// reply was truncated.
asio::awaitable<bool> append_next_piece(exchange_ptr work, reply_event& first)
{
    auto [error, next] =
        co_await work->reply.async_receive(asio::as_tuple(asio::use_awaitable));
    if (error || next.failure)
    {
        co_return false;
    }
    first.bytes += next.bytes;
    first.last = next.last;
    co_return true;
}

} // namespace

void report_consumed_reply(const exchange& work, std::size_t bytes)
{
    if (work.on_reply_consumed && bytes > 0)
    {
        work.on_reply_consumed(bytes);
    }
}

asio::awaitable<bool> gather_small(exchange_ptr work, reply_event& first)
{
    const auto size = first.head->body_size;
    const bool small = is_bodyless(work->head.method, first.head->status) ||
                       (size && *size <= max_chunk_bytes);
    while (small && !first.last)
    {
        const bool appended = co_await append_next_piece(work, first);
        if (!appended)
        {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<bool> hold_reply(exchange_ptr work, reply_event& first)
{
    asio::steady_timer deadline(
        co_await asio::this_coro::executor, work->context.deadline);
    deadline.async_wait(
        [work](const boost::system::error_code& error)
        {
            if (!error)
            {
                cancel(*work);
            }
        });
    std::size_t reported = 0;
    while (true)
    {
        report_consumed_reply(*work, first.bytes.size() - reported);
        reported = first.bytes.size();
        if (first.last || reported >= max_held_reply_bytes)
        {
            co_return true;
        }
        const bool appended = co_await append_next_piece(work, first);
        if (!appended)
        {
            co_return false;
        }
    }
}

} // namespace cyclamenhold
