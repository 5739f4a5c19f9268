#include "adapters/caller_session.hpp"

#include "adapters/callers/request_reader.hpp"
#include "adapters/http_fields.hpp"
#include "adapters/reply_writer.hpp"
#include "adapters/upstream_requests.hpp"

#include <boost/json.hpp>

namespace cyclamenhold
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::string_view ticket_target = "/v1/tickets";

std::string_view view_of(beast::string_view text)
{
    return {text.data(), text.size()};
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
running_request_ptr parent_of(const caller_request& caller)
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

// Whether a request may run while the next one is read and run: it is whole and
// may be repeated, as those behind it may if an earlier reply closes the
// connection.
bool may_run_beside(const caller_request& caller)
{
    if (!caller.body_complete)
    {
        return false;
    }
    const auto& message = caller.parser->get();
    // The answer to a ticket request does not wait for its turn.
    if (view_of(message.target()) == ticket_target)
    {
        return false;
    }
    const auto tables = caller.thread.services.path.tables.read();
    const route_entry* const route = find_route(
        *tables, view_of(message[http::field::host]),
        view_of(message.method_string()), view_of(message.target()));
    return route != nullptr && !route->settings.never_repeat;
}

asio::awaitable<void>
serve_and_close(caller_ptr caller, session_settings settings)
{
    co_await serve_request(caller, settings);
    close_request(caller);
}

// Whether a request that was read may run. What is behind a closing reply
// counts as not read. During a planned stop the requests that are open are the
// last.
bool may_start(const caller_connection& connection)
{
    return !connection.must_close && !connection.disconnected &&
           (connection.open.empty() ||
            !connection.thread.services.path.draining);
}

// Reads one request and runs it, or starts to. False if none can follow it.
asio::awaitable<bool> serve_next(
    std::shared_ptr<caller_connection> connection, session_settings settings)
{
    auto caller = std::make_shared<caller_request>(connection);
    const bool has_head = co_await read_head(caller);
    if (!has_head)
    {
        co_return false;
    }
    const bool has_prefix = co_await read_prefix(caller);
    if (!has_prefix)
    {
        co_return false;
    }
    co_await wait_for_stream(connection);
    if (!may_start(*connection))
    {
        co_return false;
    }
    const bool is_last = !caller->parser->get().keep_alive();
    if (settings.side == session_side::callers && may_run_beside(*caller))
    {
        open_request(caller);
        caller->runs_beside_reader = !is_last;
        asio::co_spawn(
            connection->thread.io, serve_and_close(caller, settings),
            asio::detached);
        co_return !is_last;
    }
    co_await wait_for_open(connection, 1);
    if (connection->must_close || connection->disconnected)
    {
        co_return false;
    }
    open_request(caller);
    co_await serve_and_close(caller, settings);
    co_return !is_last;
}

} // namespace

asio::awaitable<void> serve_caller(
    std::shared_ptr<caller_connection> connection, session_settings settings)
{
    boost::system::error_code ignored;
    connection->stream.socket().set_option(
        asio::ip::tcp::no_delay(true), ignored);
    bool goes_on = true;
    while (goes_on && !connection->must_close && !connection->disconnected)
    {
        co_await wait_for_open(connection, max_open_requests);
        if (connection->must_close || connection->disconnected)
        {
            break;
        }
        goes_on = co_await serve_next(connection, settings);
    }
    co_await wait_for_open(connection, 1);
    connection->stream.socket().shutdown(
        asio::ip::tcp::socket::shutdown_send, ignored);
    connection->stream.close();
}

} // namespace cyclamenhold
