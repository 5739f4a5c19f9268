// A platform whose open connections fall silent while it answers new ones.
#include "adapters/clock.hpp"
#include "adapters/platform_client.hpp"
#include "platform/store_protocol.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <vector>

namespace cyclamenhold
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

// Answers each read with 404. A connection accepted before `silent_before` gets
// no more answers.
struct silent_platform_server
{
    explicit silent_platform_server(asio::io_context& context)
        : acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
    }
    tcp::acceptor acceptor;
    int accepted = 0;
    int silent_before = 0;
    // Calls that are held until `release`.
    asio::steady_timer held{acceptor.get_executor(), time_point::max()};
};

asio::awaitable<void>
serve_connection(silent_platform_server& server, tcp::socket socket, int number)
{
    boost::beast::flat_buffer buffer;
    for (;;)
    {
        http::request<http::string_body> request;
        const auto [error, size] =
            co_await http::async_read(socket, buffer, request, as_result);
        if (error)
        {
            co_return;
        }
        if (number < server.silent_before)
        {
            continue;
        }
        co_await server.held.async_wait(as_result);
        http::response<http::string_body> response{http::status::not_found, 11};
        response.prepare_payload();
        co_await http::async_write(socket, response, as_result);
    }
}

asio::awaitable<void> accept_connections(silent_platform_server& server)
{
    for (;;)
    {
        auto [error, socket] = co_await server.acceptor.async_accept(as_result);
        if (error)
        {
            co_return;
        }
        asio::co_spawn(
            server.acceptor.get_executor(),
            serve_connection(server, std::move(socket), server.accepted++),
            asio::detached);
    }
}

bool run_until(asio::io_context& context, const std::function<bool()>& done)
{
    const time_point deadline = now() + 10s;
    while (!done() && now() < deadline)
    {
        context.run_one_for(20ms);
    }
    return done();
}

// When open connections fall silent, each idle one cost a call its whole time
// limit, one after the other (CONFIG, after a lost history). After one call
// without an answer the next must use a new connection.
TEST(platform_over_http, an_unanswered_call_gives_up_all_idle_connections)
{
    asio::io_context context{1};
    silent_platform_server server(context);
    asio::co_spawn(context, accept_connections(server), asio::detached);
    platform_connection_settings settings;
    settings.endpoint = server.acceptor.local_endpoint();
    settings.max_backoff = 100ms;
    settings.codec = platform::store_codec();
    const auto client =
        make_platform_connections(context.get_executor(), settings);
    std::vector<platform_status> statuses;
    const auto read = [&]
    {
        platform_call call;
        call.operation = platform_operation::get;
        call.key = "key";
        call.timeout = 500ms;
        platform_client_send(
            client, call,
            [&](const platform_reply& reply)
            {
                statuses.push_back(reply.status);
            });
    };
    {
        SCOPED_TRACE("two calls at the same time leave two idle connections");
        read();
        read();
        ASSERT_TRUE(run_until(
            context,
            [&]
            {
                return server.accepted == 2;
            }));
        server.held.expires_at(time_point::min());
        ASSERT_TRUE(run_until(
            context,
            [&]
            {
                return statuses.size() == 2;
            }));
        EXPECT_EQ(statuses.back(), platform_status::not_found);
    }
    {
        SCOPED_TRACE("they fall silent: one call finds out");
        server.silent_before = 2;
        read();
        ASSERT_TRUE(run_until(
            context,
            [&]
            {
                return statuses.size() == 3;
            }));
        EXPECT_EQ(statuses.back(), platform_status::unavailable);
    }
    {
        SCOPED_TRACE("the next call is answered");
        read();
        ASSERT_TRUE(run_until(
            context,
            [&]
            {
                return statuses.size() == 4;
            }));
        EXPECT_EQ(statuses.back(), platform_status::not_found);
        EXPECT_EQ(server.accepted, 3);
    }
}

} // namespace
} // namespace cyclamenhold
