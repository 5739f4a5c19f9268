#include "adapters/callers/request_reader.hpp"

#include "adapters/call_driver.hpp"
#include "adapters/http_fields.hpp"
#include "adapters/reply_writer.hpp"

#include <algorithm>
#include <charconv>

namespace cyclamenhold
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t max_idempotency_key_bytes = 256;
constexpr std::uint64_t max_timeout_ms = 3'600'000;

std::string_view view_of(beast::string_view text)
{
    return {text.data(), text.size()};
}

// Answers a request that can't be read, after the requests before it, and ends
// the connection.
asio::awaitable<void> refuse_unread(caller_ptr caller, refusal reason)
{
    open_request(caller);
    const bool is_turn = co_await wait_for_turn(caller);
    if (is_turn)
    {
        // The rest of the request stays unread, which closes the connection.
        co_await write_refusal(caller, reason, outcome::not_run, {}, {});
    }
    close_request(caller);
}

// Waits for the first byte of a request. Time without requests in progress is
// bounded; an earlier request may take as long as it needs. False when the
// connection ends.
asio::awaitable<bool> await_first_byte(caller_ptr caller)
{
    caller_connection& connection = *caller->connection;
    connection.is_reading = true;
    if (connection.open.empty())
    {
        begin_idle(connection);
    }
    connection.stream.expires_never();
    const auto [error, count] = co_await connection.stream.async_read_some(
        connection.buffer.prepare(max_chunk_bytes),
        asio::as_tuple(asio::use_awaitable));
    connection.is_reading = false;
    end_idle(connection);
    if (error)
    {
        if (!connection.must_close)
        {
            disconnect(connection);
        }
        co_return false;
    }
    connection.buffer.commit(count);
    co_return true;
}

asio::awaitable<bool> answer_expectation(caller_ptr caller)
{
    const auto expectation = caller->parser->get()[http::field::expect];
    if (!beast::iequals(expectation, "100-continue"))
    {
        co_return true;
    }
    // Replies to earlier requests come first.
    co_await wait_for_open(caller->connection, 1);
    if (caller->connection->must_close || caller->connection->disconnected)
    {
        co_return false;
    }
    http::response<http::empty_body> interim(http::status::continue_, 11);
    const auto [error, count] = co_await http::async_write(
        caller->connection->stream, interim,
        asio::as_tuple(asio::use_awaitable));
    co_return !error;
}

std::optional<std::chrono::milliseconds> timeout_of(
    const http::fields& fields, const header_names& names, bool& malformed)
{
    const auto text = field_value(fields, names.timeout);
    if (text.empty())
    {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const auto [position, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    malformed = error != std::errc() || position != text.data() + text.size() ||
                value == 0 || value > max_timeout_ms;
    return std::chrono::milliseconds(value);
}

} // namespace

void record_bad_input(caller_request& caller, std::string detail)
{
    event recorded;
    recorded.kind = event_kind::bad_input;
    recorded.detail = std::move(detail);
    caller.thread.services.record(recorded);
}

asio::awaitable<bool> read_head(caller_ptr caller)
{
    caller_connection& connection = *caller->connection;
    const http_limits& limits = caller->thread.services.limits;
    caller->parser = std::make_unique<caller_parser>();
    caller->parser->header_limit(limits.max_header_bytes);
    caller->parser->body_limit(limits.max_body_bytes);
    caller->prefix = {};
    caller->body_complete = false;
    if (connection.buffer.size() == 0)
    {
        // The header timeout starts at the header's first byte.
        const bool has_bytes = co_await await_first_byte(caller);
        if (!has_bytes)
        {
            co_return false;
        }
    }
    connection.stream.expires_after(limits.header_timeout);
    const auto [error, count] = co_await http::async_read_header(
        connection.stream, connection.buffer, *caller->parser,
        asio::as_tuple(asio::use_awaitable));
    if (!error)
    {
        co_return true;
    }
    if (error == http::error::end_of_stream || error == asio::error::eof ||
        error == http::error::partial_message ||
        error == beast::error::timeout ||
        error == asio::error::connection_reset)
    {
        co_return false;
    }
    const refusal reason =
        error == http::error::header_limit ? refusal::header_too_large
        : error == http::error::body_limit ? refusal::body_too_large
                                           : refusal::bad_request;
    record_bad_input(*caller, error.message());
    co_await refuse_unread(caller, reason);
    co_return false;
}

asio::awaitable<bool> read_prefix(caller_ptr caller)
{
    const bool expected = co_await answer_expectation(caller);
    if (!expected)
    {
        co_return false;
    }
    caller_connection& connection = *caller->connection;
    auto& parser = *caller->parser;
    auto& body = parser.get().body();
    // The buffer starts at the declared length, or at default_read_bytes
    // without one, and doubles for each later read.
    constexpr std::size_t default_read_bytes = 4 * 1024;
    const std::size_t declared_bytes = std::min<std::uint64_t>(
        parser.content_length().value_or(default_read_bytes), max_chunk_bytes);
    caller->prefix.reserve(declared_bytes);
    while (!parser.is_done() && caller->prefix.size() < max_chunk_bytes)
    {
        const std::size_t filled = caller->prefix.size();
        const std::size_t buffer_bytes =
            std::min(max_chunk_bytes, std::max(declared_bytes + 1, 2 * filled));
        caller->prefix.resize(buffer_bytes);
        body.data = caller->prefix.data() + filled;
        body.size = buffer_bytes - filled;
        connection.stream.expires_after(
            caller->thread.services.limits.body_stall_timeout);
        const auto [error, count] = co_await http::async_read_some(
            connection.stream, connection.buffer, parser,
            asio::as_tuple(asio::use_awaitable));
        caller->prefix.resize(buffer_bytes - body.size);
        if (error && error != http::error::need_buffer)
        {
            if (error == http::error::body_limit)
            {
                co_await refuse_unread(caller, refusal::body_too_large);
            }
            else if (error != beast::error::timeout)
            {
                record_bad_input(*caller, error.message());
            }
            co_return false;
        }
    }
    caller->body_complete = parser.is_done();
    co_return true;
}

std::optional<call_request> request_of(const caller_request& caller)
{
    const auto& message = caller.parser->get();
    bool malformed = false;
    call_request request;
    request.method = view_of(message.method_string());
    request.target = view_of(message.target());
    if (const auto key = bearer_of(message); !key.empty())
    {
        request.key = std::string(key);
    }
    const header_names& names = caller.thread.services.profile.headers;
    request.host = view_of(message[http::field::host]);
    request.timeout = timeout_of(message, names, malformed);
    request.request_id = field_value(message, names.request_id);
    request.idempotency_key =
        view_of(message[{idempotency_field.data(), idempotency_field.size()}]);
    if (const auto length = caller.parser->content_length())
    {
        request.body_size = *length;
    }
    else if (caller.body_complete && !caller.prefix.empty())
    {
        request.body_size = caller.prefix.size();
    }
    request.body_prefix = caller.prefix;
    const bool carries_key =
        request.key && request.target.find(*request.key) != std::string::npos;
    if (malformed || carries_key || !request.target.starts_with('/') ||
        request.idempotency_key.size() > max_idempotency_key_bytes)
    {
        return std::nullopt;
    }
    return request;
}

} // namespace cyclamenhold
