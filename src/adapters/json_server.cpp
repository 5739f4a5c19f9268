#include "adapters/json_server.hpp"

#include "core/base/ids.hpp"
#include "core/base/time.hpp"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <memory>
#include <utility>

namespace cyclamenhold
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr auto idle_connection_timeout = 5min;

struct json_connection
{
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

asio::awaitable<bool> write_reply(
    json_connection& connection, const json_reply& reply, bool keep_alive)
{
    http::response<http::string_body> response;
    response.version(11);
    response.result(reply.status);
    response.set(http::field::content_type, "application/json");
    response.keep_alive(keep_alive);
    response.body() = reply.body;
    response.prepare_payload();
    const auto [error, size] =
        co_await http::async_write(connection.stream, response, as_result);
    co_return !error;
}

// Serves one request; returns false if the connection must be closed.
asio::awaitable<bool>
serve_one(json_connection& connection, const json_handler& handler)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(json_body_limit);
    connection.stream.expires_after(idle_connection_timeout);
    const auto [error, size] = co_await http::async_read(
        connection.stream, connection.buffer, parser, as_result);
    json_reply reply;
    if (error == http::error::body_limit)
    {
        reply.status = 413;
        reply.body = R"({"error":"body too large"})";
        co_return co_await write_reply(connection, reply, false) && false;
    }
    if (error)
    {
        co_return false;
    }
    // No timeout for the handler: a watch waits until there is a change.
    connection.stream.expires_never();
    auto message = parser.release();
    const bool keep_alive = message.keep_alive();
    json_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    reply = co_await handler(std::move(request));
    if (reply.drop)
    {
        co_return false;
    }
    connection.stream.expires_after(idle_connection_timeout);
    const bool written = co_await write_reply(connection, reply, keep_alive);
    co_return written&& keep_alive;
}

asio::awaitable<void>
serve_connection(tcp::socket socket, std::shared_ptr<json_handler> handler)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    json_connection connection{beast::tcp_stream(std::move(socket)), {}};
    bool open = true;
    while (open)
    {
        open = co_await serve_one(connection, *handler);
    }
    connection.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

asio::awaitable<void> accept_connections(
    std::shared_ptr<tcp::acceptor> acceptor,
    std::shared_ptr<json_handler> handler)
{
    auto executor = co_await asio::this_coro::executor;
    asio::steady_timer pause(executor);
    while (acceptor->is_open())
    {
        auto [error, socket] = co_await acceptor->async_accept(as_result);
        if (error)
        {
            // No free file descriptor, or the acceptor is closed; the pause
            // avoids a busy loop.
            pause.expires_after(10ms);
            co_await pause.async_wait(as_result);
            continue;
        }
        asio::co_spawn(
            executor, serve_connection(std::move(socket), handler),
            asio::detached);
    }
}

} // namespace

json_reply json_error(unsigned status, std::string_view message)
{
    boost::json::object object;
    object["error"] = boost::json::string_view(message.data(), message.size());
    return {status, boost::json::serialize(object), false};
}

absl::StatusOr<tcp::endpoint> start_json_server(
    const asio::any_io_executor& executor, const tcp::endpoint& endpoint,
    json_handler handler)
{
    auto acceptor = std::make_shared<tcp::acceptor>(executor);
    beast::error_code error;
    acceptor->open(endpoint.protocol(), error);
    acceptor->set_option(asio::socket_base::reuse_address(true), error);
    if (acceptor->bind(endpoint, error); error)
    {
        return absl::UnavailableError(
            to_string(endpoint) + ": " + error.message());
    }
    if (acceptor->listen(asio::socket_base::max_listen_connections, error);
        error)
    {
        return absl::UnavailableError(
            to_string(endpoint) + ": " + error.message());
    }
    const tcp::endpoint bound = acceptor->local_endpoint();
    asio::co_spawn(
        executor,
        accept_connections(
            acceptor, std::make_shared<json_handler>(std::move(handler))),
        asio::detached);
    return bound;
}

absl::StatusOr<tcp::endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return absl::InvalidArgumentError(text + ": not an address and a port");
    }
    beast::error_code error;
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    const std::string digits = text.substr(colon + 1);
    const bool numeric =
        !digits.empty() && digits.size() <= 5 &&
        digits.find_first_not_of("0123456789") == std::string::npos;
    if (error || !numeric || std::stoul(digits) > 65535)
    {
        return absl::InvalidArgumentError(text + ": not an address and a port");
    }
    return tcp::endpoint(
        address, static_cast<std::uint16_t>(std::stoul(digits)));
}

std::string to_string(const tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" +
           std::to_string(endpoint.port());
}

void run_until_signal(asio::io_context& context, std::function<void()> on_stop)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&](const beast::error_code& error, int)
        {
            if (error)
            {
                return;
            }
            signals.async_wait(
                [&](const beast::error_code& again, int)
                {
                    if (!again)
                    {
                        context.stop();
                    }
                });
            on_stop();
        });
    context.run();
}

} // namespace cyclamenhold
