#include "adapters/upstream_client.hpp"

#include "adapters/clock.hpp"
#include "adapters/http_fields.hpp"
#include "adapters/upstream_reply_head.hpp"

#include <boost/beast/http.hpp>

#include <array>

namespace cyclamenhold
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint32_t max_reply_header_bytes = 64 * 1024;
constexpr unsigned http_version_1_1 = 11;
constexpr unsigned first_server_error = 500;

// Replies are read in pieces of 16 KiB, which limits the memory that a slow
// caller occupies.
using piece_buffer = std::array<char, 16 * 1024>;

// The failure of an attempt whose request reached the upstream.
stream_failure failure_after(const beast::error_code& error)
{
    if (error == beast::error::timeout)
    {
        return {refusal::deadline_exceeded, outcome::unknown};
    }
    return {refusal::upstream_failed, outcome::unknown};
}

gate_result
result_after(const upstream_call& call, const beast::error_code& error)
{
    if (call.work->cancelled)
    {
        return gate_result::cancelled;
    }
    return error == beast::error::timeout ? gate_result::timed_out
                                          : gate_result::failed;
}

upstream_result fail_call(
    const upstream_call& call, const beast::error_code& error,
    const stream_failure& failure)
{
    // Before the failure is passed on: its receiver, on another thread, cancels
    // the exchange.
    const gate_result result = result_after(call, error);
    const bool broke = result == gate_result::failed && !call.work->unsent;
    fail(*call.work, failure, call.report(), call.returned_allowance());
    return {result, broke, false};
}

template <class Message>
void fill_head(Message& message, const upstream_call& call)
{
    const request_head& head = call.work->head;
    message.version(http_version_1_1);
    message.method_string(head.method);
    message.target(head.target);
    for (const auto& [name, value] : head.headers)
    {
        message.insert(name, value);
    }
    const auto remaining_ms =
        to_milliseconds(call.work->context.deadline - now());
    const header_names& names = *call.names;
    if (!names.forwards_host)
    {
        message.set(
            http::field::host, call.endpoint.address().to_string() + ':' +
                                   std::to_string(call.endpoint.port()));
    }
    const auto set = [&message](const std::string& name, std::string_view value)
    {
        if (!name.empty() && !value.empty())
        {
            message.set(name, value);
        }
    };
    set(names.call_handle, call.handle);
    set(names.remaining,
        std::to_string(std::max<std::int64_t>(0, remaining_ms)));
    set(names.trace, to_string(call.work->context.trace));
    set(names.upstream_id, call.upstream_id);
}

void report_consumed_body(const upstream_call& call, std::size_t bytes)
{
    if (call.work->on_body_consumed && bytes > 0)
    {
        call.work->on_body_consumed(bytes);
    }
}

// Sends a request whose whole body is in `chunk`.
asio::awaitable<beast::error_code>
send_whole(upstream_call& call, body_chunk& chunk)
{
    http::request<http::string_body> request;
    fill_head(request, call);
    const bool has_body =
        !chunk.bytes.empty() || call.work->head.body_size.has_value();
    request.body() = std::move(chunk.bytes);
    if (has_body)
    {
        request.content_length(request.body().size());
    }
    const auto [error, count] = co_await http::async_write(
        call.connection->stream, request, asio::as_tuple(asio::use_awaitable));
    co_return error;
}

using request_serializer = http::request_serializer<http::buffer_body>;

asio::awaitable<beast::error_code> write_piece(
    upstream_call& call, request_serializer& serializer,
    http::request<http::buffer_body>& request, body_chunk& chunk)
{
    request.body().data = chunk.bytes.empty() ? nullptr : chunk.bytes.data();
    request.body().size = chunk.bytes.size();
    request.body().more = !chunk.last;
    auto [error, count] = co_await http::async_write(
        call.connection->stream, serializer,
        asio::as_tuple(asio::use_awaitable));
    if (error == http::error::need_buffer)
    {
        error = {};
    }
    report_consumed_body(call, chunk.bytes.size());
    co_return error;
}

// Sends a request whose body is still arriving, starting with `chunk`.
asio::awaitable<beast::error_code>
send_streamed(upstream_call& call, body_chunk& chunk)
{
    reply_event started;
    started.started = true;
    call.work->reply.try_send(beast::error_code(), started);
    http::request<http::buffer_body> request;
    fill_head(request, call);
    if (call.work->head.body_size)
    {
        request.content_length(*call.work->head.body_size);
    }
    else
    {
        request.chunked(true);
    }
    request_serializer serializer(request);
    while (true)
    {
        call.connection->stream.expires_after(call.body_stall_timeout);
        const auto write_error =
            co_await write_piece(call, serializer, request, chunk);
        if (write_error)
        {
            co_return write_error;
        }
        if (chunk.last)
        {
            co_return beast::error_code();
        }
        auto [error, next] = co_await call.work->body.async_receive(
            asio::as_tuple(asio::use_awaitable));
        if (error)
        {
            co_return error;
        }
        chunk = std::move(next);
    }
}

asio::awaitable<beast::error_code> connect(upstream_call& call)
{
    if (call.connection->stream.socket().is_open())
    {
        co_return beast::error_code();
    }
    call.connection->stream.expires_after(upstream_connect_timeout);
    const auto [error] = co_await call.connection->stream.async_connect(
        call.endpoint, asio::as_tuple(asio::use_awaitable));
    if (!error)
    {
        beast::error_code ignored;
        call.connection->stream.socket().set_option(
            asio::ip::tcp::no_delay(true), ignored);
    }
    co_return error;
}

// Reads the next piece of the reply's body.
asio::awaitable<beast::error_code> read_piece(
    upstream_call& call, response_parser& parser, piece_buffer& read_buffer,
    std::string& bytes)
{
    auto& body = parser.get().body();
    body.data = read_buffer.data();
    body.size = read_buffer.size();
    auto [error, count] = co_await http::async_read(
        call.connection->stream, call.connection->buffer, parser,
        asio::as_tuple(asio::use_awaitable));
    if (error == http::error::need_buffer)
    {
        error = {};
    }
    bytes.assign(read_buffer.data(), read_buffer.size() - body.size);
    co_return error;
}

// Reads and drops the rest of a reply's body. An error for a long one: closing
// the connection costs less than reading it, and it may have no end.
asio::awaitable<beast::error_code>
skip_body(upstream_call& call, response_parser& parser)
{
    constexpr std::size_t max_skipped_bytes = 64 * 1024;
    auto read_buffer = std::make_unique_for_overwrite<piece_buffer>();
    std::string discarded;
    std::size_t skipped = 0;
    while (!parser.is_done())
    {
        skipped += discarded.size();
        if (skipped > max_skipped_bytes)
        {
            co_return http::error::body_limit;
        }
        const auto error =
            co_await read_piece(call, parser, *read_buffer, discarded);
        if (error)
        {
            co_return error;
        }
    }
    co_return beast::error_code();
}

// Reads the head of the reply to this request into `parser`; skips stray
// replies.
asio::awaitable<beast::error_code> read_matching_head(
    upstream_call& call, std::unique_ptr<response_parser>& parser)
{
    constexpr int max_stray_replies = 3;
    for (int skipped = 0; skipped <= max_stray_replies; ++skipped)
    {
        parser = std::make_unique<response_parser>();
        parser->header_limit(max_reply_header_bytes);
        parser->body_limit(boost::none);
        auto& stream = call.connection->stream;
        stream.expires_at(call.work->context.deadline);
        auto [error, count] = co_await http::async_read_header(
            stream, call.connection->buffer, *parser,
            asio::as_tuple(asio::use_awaitable));
        if (!error && is_interim(*parser))
        {
            continue;
        }
        if (error || !is_of_other_request(call, *parser))
        {
            co_return error;
        }
        call.connection->had_stray_reply = true;
        error = co_await skip_body(call, *parser);
        if (error)
        {
            co_return error;
        }
    }
    co_return http::error::bad_field;
}

// Notes the refusal at its connection. False if the connection can't be used
// again: it has bytes that belong to no request, or a copy of the refusal could
// not be distinguished from the reply to another request.
bool record_refusal(const upstream_call& call, upstream_connection& connection)
{
    constexpr std::size_t max_refused_ids = 64;
    const auto id =
        field_value(call.work->head.headers, call.names->request_id);
    if (id.empty() || connection.had_stray_reply ||
        connection.buffer.size() != 0 ||
        connection.refused_ids.size() >= max_refused_ids)
    {
        return false;
    }
    connection.refused_ids.emplace_back(id);
    return true;
}

// Reports an upstream's own refusal as a node refusal, so that the request can
// be sent to another upstream.
asio::awaitable<upstream_result>
forward_upstream_refusal(upstream_call& call, response_parser& parser)
{
    const bool keep_alive = parser.keep_alive();
    const unsigned status = parser.get().result_int();
    const bool shed = status == 503 || status == 429;
    const auto error = co_await skip_body(call, parser);
    const bool reusable =
        !error && keep_alive && record_refusal(call, *call.connection);
    set_abort(*call.work, nullptr);
    fail(
        *call.work, {refusal::upstream_failed, outcome::not_run}, call.report(),
        call.returned_allowance());
    co_return upstream_result{
        shed ? gate_result::shed : gate_result::failed, false, reusable};
}

// Forwards the reply to the exchange. The head is sent with the first piece.
asio::awaitable<upstream_result> receive_reply(upstream_call& call)
{
    std::unique_ptr<response_parser> parser;
    const beast::error_code error = co_await read_matching_head(call, parser);
    auto& stream = call.connection->stream;
    if (error)
    {
        co_return fail_call(call, error, failure_after(error));
    }
    if (!is_final_status(parser->get().result_int()))
    {
        co_return fail_call(
            call, http::error::bad_status,
            {refusal::upstream_failed, outcome::unknown});
    }
    call.on_notice(notice_of(call, *parser));
    if (is_not_run(call, *parser))
    {
        co_return co_await forward_upstream_refusal(call, *parser);
    }
    if (lacks_signature(call, *parser))
    {
        co_return fail_call(
            call, http::error::bad_field,
            {refusal::upstream_failed, outcome::unknown});
    }
    reply_event event = make_head_event(call, *parser);
    const unsigned status = parser->get().result_int();
    const bool bodyless = is_bodyless(call.work->head.method, status);
    std::unique_ptr<piece_buffer> read_buffer;
    while (true)
    {
        if (!bodyless && !parser->is_done())
        {
            if (!read_buffer)
            {
                read_buffer = std::make_unique_for_overwrite<piece_buffer>();
            }
            stream.expires_after(call.body_stall_timeout);
            const auto read_error =
                co_await read_piece(call, *parser, *read_buffer, event.bytes);
            if (read_error)
            {
                co_return fail_call(
                    call, read_error, failure_after(read_error));
            }
        }
        event.last = bodyless || parser->is_done();
        const bool last = event.last;
        if (last)
        {
            // From here on the connection may serve another request, so a late
            // cancellation of this one must not close it.
            set_abort(*call.work, nullptr);
        }
        const auto [closed] = co_await call.work->reply.async_send(
            beast::error_code(), std::move(event),
            asio::as_tuple(asio::use_awaitable));
        if (closed)
        {
            co_return upstream_result{gate_result::cancelled, false, false};
        }
        if (last)
        {
            break;
        }
        event = {};
    }
    const bool shed = status == 503 || status == 429;
    co_return upstream_result{
        shed ? gate_result::shed : gate_result::replied, false,
        parser->keep_alive() && !bodyless &&
            !call.connection->had_stray_reply &&
            call.connection->buffer.size() == 0,
        status >= first_server_error};
}

} // namespace

asio::awaitable<upstream_result> call_upstream(upstream_call call)
{
    set_abort(
        *call.work,
        [connection = call.connection]
        {
            asio::post(
                connection->stream.get_executor(),
                [connection]
                {
                    connection->stream.close();
                });
        });
    auto [receive_error, chunk] = co_await call.work->body.async_receive(
        asio::as_tuple(asio::use_awaitable));
    if (receive_error)
    {
        co_return fail_call(
            call, receive_error, {refusal::cancelled, outcome::not_run});
    }
    const auto connect_error = co_await connect(call);
    if (connect_error)
    {
        co_return fail_call(
            call, connect_error, {refusal::upstream_failed, outcome::not_run});
    }
    call.work->unsent = false;
    call.connection->stream.expires_at(call.work->context.deadline);
    const bool whole = chunk.last;
    beast::error_code error;
    if (whole)
    {
        error = co_await send_whole(call, chunk);
    }
    else
    {
        error = co_await send_streamed(call, chunk);
    }
    if (error)
    {
        co_return fail_call(call, error, failure_after(error));
    }
    co_return co_await receive_reply(call);
}

} // namespace cyclamenhold
