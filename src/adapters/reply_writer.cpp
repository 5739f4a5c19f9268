#include "adapters/reply_writer.hpp"

#include "adapters/clock.hpp"
#include "adapters/http_fields.hpp"
#include "adapters/reply_pieces.hpp"

#include <boost/json.hpp>

#include <array>
#include <cmath>
#include <cstdio>

namespace cyclamenhold
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned http_version_1_1 = 11;

const header_names& names_of(const caller_request& caller)
{
    return caller.thread.services.profile.headers;
}

// Retry-After in seconds, rounded up to a whole number unless `fractional`.
std::string retry_after_text(duration time, bool fractional)
{
    if (!fractional)
    {
        return std::to_string(
            static_cast<std::int64_t>(std::ceil(to_seconds(time))));
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", to_seconds(time));
    return text.data();
}

bool is_bodyless_to(const caller_request& caller, unsigned status)
{
    const auto method = caller.parser->get().method_string();
    return is_bodyless({method.data(), method.size()}, status);
}

// A reply in front of requests that already run leaves the connection open
// during a planned stop, so that these are answered too.
bool is_keep_alive(const caller_request& caller)
{
    return !caller.connection->must_close && caller.body_complete &&
           caller.parser && caller.parser->get().keep_alive() &&
           (has_followers(caller) || !caller.thread.services.path.draining);
}

// Decides whether the reply closes the connection. If so, nothing behind it is
// started from here on.
template <class Response>
void fill_keep_alive(Response& response, const caller_request& caller)
{
    const bool keep_alive = is_keep_alive(caller);
    response.keep_alive(keep_alive);
    if (!keep_alive)
    {
        caller.connection->must_close = true;
    }
}

template <class Response>
void fill_common(
    Response& response, const caller_request& caller, trace_id trace,
    outcome result)
{
    response.version(http_version_1_1);
    fill_keep_alive(response, caller);
    const header_names& names = names_of(caller);
    response.set(names.trace, to_string(trace));
    response.set(names.outcome, std::string(name_of(result)));
}

template <class Response>
void fill_head(
    Response& response, const caller_request& caller, const reply_head& head,
    trace_id trace)
{
    response.result(head.status);
    for (const auto& [name, value] : head.headers)
    {
        response.insert(name, value);
    }
    fill_common(response, caller, trace, outcome::ran);
}

// Writes a whole reply; to HEAD, and with a status that allows no body, only
// its head.
template <class Body>
asio::awaitable<bool>
write_message(caller_ptr caller, http::response<Body>& response)
{
    caller->connection->stream.expires_after(
        caller->thread.services.limits.body_stall_timeout);
    http::response_serializer<Body> serializer(response);
    const bool bodyless = is_bodyless_to(*caller, response.result_int());
    beast::error_code failed;
    if (bodyless)
    {
        const auto [error, count] = co_await http::async_write_header(
            caller->connection->stream, serializer,
            asio::as_tuple(asio::use_awaitable));
        failed = error;
    }
    else
    {
        const auto [error, count] = co_await http::async_write(
            caller->connection->stream, serializer,
            asio::as_tuple(asio::use_awaitable));
        failed = error;
    }
    if (failed)
    {
        caller->connection->must_close = true;
    }
    co_return !failed;
}

void store_body_bytes(delivered_reply& delivered, std::string_view bytes)
{
    if (delivered.body.size() + bytes.size() > max_stored_reply_bytes)
    {
        delivered.is_body_stored = false;
        delivered.body.clear();
    }
    if (delivered.is_body_stored)
    {
        delivered.body += bytes;
    }
}

// Writes a reply whose whole body arrived with its head.
asio::awaitable<bool>
write_whole(caller_ptr caller, reply_event& event, trace_id trace)
{
    http::response<http::string_body> response;
    fill_head(response, *caller, *event.head, trace);
    if (is_bodyless_to(*caller, event.head->status))
    {
        if (event.head->body_size)
        {
            response.content_length(*event.head->body_size);
        }
        co_return co_await write_message(caller, response);
    }
    response.body() = std::move(event.bytes);
    response.content_length(response.body().size());
    co_return co_await write_message(caller, response);
}

using stream_serializer = http::response_serializer<http::buffer_body>;

asio::awaitable<bool> write_piece(
    caller_ptr caller, stream_serializer& serializer,
    http::response<http::buffer_body>& response, reply_event& event)
{
    response.body().data = event.bytes.empty() ? nullptr : event.bytes.data();
    response.body().size = event.bytes.size();
    response.body().more = !event.last;
    caller->connection->stream.expires_after(
        caller->thread.services.limits.body_stall_timeout);
    const auto [error, count] = co_await http::async_write(
        caller->connection->stream, serializer,
        asio::as_tuple(asio::use_awaitable));
    co_return !error || error == http::error::need_buffer;
}

// Writes a reply of several pieces. `reported` bytes of the first one have been
// reported as consumed. False when the reply was truncated or the caller could
// not be written to.
asio::awaitable<bool> write_streamed(
    caller_ptr caller, exchange_ptr work, reply_event event, trace_id trace,
    std::size_t reported, delivered_reply& delivered)
{
    http::response<http::buffer_body> response;
    fill_head(response, *caller, *event.head, trace);
    if (event.head->body_size)
    {
        response.content_length(*event.head->body_size);
    }
    else
    {
        response.chunked(true);
    }
    stream_serializer serializer(response);
    while (true)
    {
        const bool written =
            co_await write_piece(caller, serializer, response, event);
        if (!written)
        {
            co_return false;
        }
        store_body_bytes(delivered, event.bytes);
        report_consumed_reply(*work, event.bytes.size() - reported);
        reported = 0;
        if (event.last)
        {
            co_return true;
        }
        auto [error, next] = co_await work->reply.async_receive(
            asio::as_tuple(asio::use_awaitable));
        if (error || next.failure)
        {
            co_return false;
        }
        event = std::move(next);
    }
}

} // namespace

asio::awaitable<delivered_reply> deliver_reply(
    caller_ptr caller, exchange_ptr work, reply_event first, trace_id trace)
{
    delivered_reply delivered;
    delivered.status = first.head->status;
    for (const auto& [name, value] : first.head->headers)
    {
        if (beast::iequals(name, "content-type"))
        {
            delivered.content_type = value;
        }
    }
    const bool is_turn = co_await wait_for_turn(caller);
    if (!is_turn)
    {
        co_return delivered;
    }
    std::size_t reported = 0;
    if (!first.last && has_followers(*caller))
    {
        const bool held = co_await hold_reply(work, first);
        if (!held)
        {
            const bool is_late = now() >= work->context.deadline;
            co_await write_refusal(
                caller,
                is_late ? refusal::deadline_exceeded : refusal::upstream_failed,
                outcome::unknown, {}, trace);
            co_return delivered;
        }
        reported = first.bytes.size();
    }
    if (first.last)
    {
        store_body_bytes(delivered, first.bytes);
        const std::size_t size = first.bytes.size() - reported;
        delivered.whole = co_await write_whole(caller, first, trace);
        report_consumed_reply(*work, size);
        co_return delivered;
    }
    caller_connection& connection = *caller->connection;
    connection.is_streaming = true;
    delivered.whole = co_await write_streamed(
        caller, work, std::move(first), trace, reported, delivered);
    connection.is_streaming = false;
    if (!delivered.whole)
    {
        connection.must_close = true;
        connection.stream.close();
    }
    connection.ended.cancel();
    co_return delivered;
}

asio::awaitable<void> write_refusal(
    caller_ptr caller, refusal reason, outcome result, duration retry_after,
    trace_id trace)
{
    const bool is_turn = co_await wait_for_turn(caller);
    if (!is_turn)
    {
        co_return;
    }
    http::response<http::string_body> response;
    response.result(http_status_of(reason, result));
    if (!caller->body_complete)
    {
        // The rest of the request is not read, so no request can follow it.
        caller->connection->must_close = true;
    }
    fill_common(response, *caller, trace, result);
    const header_names& names = names_of(*caller);
    response.set(names.reason, std::string(name_of(reason)));
    if (retry_after > duration::zero())
    {
        response.set(
            http::field::retry_after,
            retry_after_text(retry_after, names.fractional_retry_after));
    }
    if (reason == refusal::unauthenticated)
    {
        response.set(http::field::www_authenticate, "Bearer");
    }
    response.set(http::field::content_type, "application/json");
    response.body() = boost::json::serialize(boost::json::object{
        {"reason", std::string(name_of(reason))},
        {"outcome", std::string(name_of(result))},
        {"trace", to_string(trace)}});
    response.body() += '\n';
    response.prepare_payload();
    co_await write_message(caller, response);
}

asio::awaitable<void>
write_stored(caller_ptr caller, stored_reply reply, trace_id trace)
{
    const bool is_turn = co_await wait_for_turn(caller);
    if (!is_turn)
    {
        co_return;
    }
    http::response<http::string_body> response;
    response.result(reply.status);
    fill_common(response, *caller, trace, outcome::ran);
    if (!reply.content_type.empty())
    {
        response.set(http::field::content_type, reply.content_type);
    }
    response.body() = std::move(reply.body);
    response.prepare_payload();
    co_await write_message(caller, response);
}

asio::awaitable<void>
write_json(caller_ptr caller, unsigned status, boost::json::value body)
{
    http::response<http::string_body> response;
    response.version(http_version_1_1);
    fill_keep_alive(response, *caller);
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = boost::json::serialize(body) + '\n';
    response.prepare_payload();
    co_await write_message(caller, response);
}

} // namespace cyclamenhold
