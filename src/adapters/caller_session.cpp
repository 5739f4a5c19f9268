#include "adapters/caller_session.hpp"

#include "adapters/clock.hpp"
#include "adapters/http_fields.hpp"
#include "adapters/reply_writer.hpp"
#include "adapters/upstream_requests.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace cyclamenhold
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::string_view ticket_target = "/v1/tickets";
constexpr std::size_t max_idempotency_key_bytes = 256;
constexpr std::uint64_t max_timeout_ms = 3'600'000;

std::string_view view_of(beast::string_view text)
{
    return {text.data(), text.size()};
}

void record_bad_input(caller_connection& caller, std::string detail)
{
    event recorded;
    recorded.kind = event_kind::bad_input;
    recorded.detail = std::move(detail);
    caller.thread.services.record(recorded);
}

// Reads the next request's head. False when the connection ends: the caller
// closed it, was too slow, or sent malformed HTTP, for which a refusal is
// written first.
asio::awaitable<bool> read_head(caller_ptr caller)
{
    const http_limits& limits = caller->thread.services.limits;
    caller->parser = std::make_unique<caller_parser>();
    caller->parser->header_limit(limits.max_header_bytes);
    caller->parser->body_limit(limits.max_body_bytes);
    caller->prefix = {};
    caller->body_complete = false;
    if (caller->buffer.size() == 0)
    {
        // The header timeout starts at the header's first byte.
        caller->stream.expires_after(limits.idle_timeout);
        caller->thread.idle.insert(caller);
        const auto [error, count] = co_await caller->stream.async_read_some(
            caller->buffer.prepare(max_chunk_bytes),
            asio::as_tuple(asio::use_awaitable));
        caller->thread.idle.erase(caller);
        if (error)
        {
            co_return false;
        }
        caller->buffer.commit(count);
    }
    caller->stream.expires_after(limits.header_timeout);
    const auto [error, count] = co_await http::async_read_header(
        caller->stream, caller->buffer, *caller->parser,
        asio::as_tuple(asio::use_awaitable));
    if (!error)
    {
        co_return true;
    }
    if (error == http::error::end_of_stream || error == asio::error::eof ||
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
    caller->must_close = true;
    co_await write_refusal(caller, reason, outcome::not_run, {}, {});
    co_return false;
}

asio::awaitable<bool> answer_expectation(caller_ptr caller)
{
    const auto expectation = caller->parser->get()[http::field::expect];
    if (!beast::iequals(expectation, "100-continue"))
    {
        co_return true;
    }
    http::response<http::empty_body> interim(http::status::continue_, 11);
    const auto [error, count] = co_await http::async_write(
        caller->stream, interim, asio::as_tuple(asio::use_awaitable));
    co_return !error;
}

// Reads the body into the prefix, at most max_chunk_bytes of it.
asio::awaitable<bool> read_prefix(caller_ptr caller)
{
    const bool expected = co_await answer_expectation(caller);
    if (!expected)
    {
        co_return false;
    }
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
        caller->stream.expires_after(
            caller->thread.services.limits.body_stall_timeout);
        const auto [error, count] = co_await http::async_read_some(
            caller->stream, caller->buffer, parser,
            asio::as_tuple(asio::use_awaitable));
        caller->prefix.resize(buffer_bytes - body.size);
        if (error && error != http::error::need_buffer)
        {
            if (error == http::error::body_limit)
            {
                caller->must_close = true;
                co_await write_refusal(
                    caller, refusal::body_too_large, outcome::not_run, {}, {});
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

// Converts a parsed request to a call request; nullopt when a field is
// malformed.
std::optional<call_request> request_of(const caller_connection& caller)
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

boost::json::value ticket_json(const std::string& ticket)
{
    return boost::json::object{{"ticket", ticket}};
}

asio::awaitable<void> serve_ticket(caller_ptr caller)
{
    auto channel = std::make_shared<asio::experimental::concurrent_channel<void(
        boost::system::error_code, std::string)>>(
        caller->thread.io.get_executor(), 1);
    caller->thread.control.issue_ticket(
        [channel](std::string ticket)
        {
            channel->try_send(boost::system::error_code(), std::move(ticket));
        });
    auto [error, ticket] =
        co_await channel->async_receive(asio::as_tuple(asio::use_awaitable));
    if (error || ticket.empty())
    {
        co_await write_refusal(
            caller, refusal::claim_unavailable, outcome::not_run, 1s, {});
        co_return;
    }
    co_await write_json(caller, 201, ticket_json(ticket));
}

// Finds the parent of a child call by the handle that the node sent to the
// upstream.
running_request_ptr parent_of(const caller_connection& caller)
{
    const header_names& names = caller.thread.services.profile.headers;
    return find_running(
        caller.thread.gate.handles,
        field_value(caller.parser->get(), names.call_handle));
}

asio::awaitable<void>
serve_request(caller_ptr caller, session_settings settings)
{
    const protocol_profile& profile = caller->thread.services.profile;
    if (settings.side == session_side::upstream &&
        profile.parse_upstream_message != nullptr)
    {
        co_await serve_upstream_message(caller, settings.upstream);
        co_return;
    }
    const std::string target(view_of(caller->parser->get().target()));
    if (settings.side == session_side::upstream && is_upstream_request(target))
    {
        co_await serve_upstream_request(caller, settings.upstream);
        co_return;
    }
    if (settings.side == session_side::callers && target == ticket_target &&
        caller->parser->get().method() == http::verb::post)
    {
        co_await serve_ticket(caller);
        co_return;
    }
    auto request = request_of(*caller);
    if (!request)
    {
        record_bad_input(*caller, "invalid target, timeout or idempotency key");
        co_await write_refusal(
            caller, refusal::bad_request, outcome::not_run, {}, {});
        co_return;
    }
    running_request_ptr parent;
    if (settings.side == session_side::upstream)
    {
        parent = parent_of(*caller);
        if (!parent)
        {
            co_await write_refusal(
                caller, refusal::forbidden, outcome::not_run, {}, {});
            co_return;
        }
        request->key.reset();
        request->parent = parent->record->context;
        request->parent_record = parent->record;
    }
    co_await run_call(caller, std::move(*request), std::move(parent));
}

} // namespace

asio::awaitable<void> serve_caller(caller_ptr caller, session_settings settings)
{
    boost::system::error_code ignored;
    caller->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    while (!caller->must_close && !caller->disconnected)
    {
        const bool has_head = co_await read_head(caller);
        if (!has_head)
        {
            break;
        }
        const bool has_prefix = co_await read_prefix(caller);
        if (!has_prefix)
        {
            break;
        }
        co_await serve_request(caller, settings);
    }
    caller->stream.socket().shutdown(
        asio::ip::tcp::socket::shutdown_send, ignored);
    caller->stream.close();
}

} // namespace cyclamenhold
