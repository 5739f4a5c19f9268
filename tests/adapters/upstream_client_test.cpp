// One request to an upstream whose replies are written byte by byte.
#include "adapters/clock.hpp"
#include "adapters/upstream_client.hpp"
#include "platform/headers.hpp"

#include <boost/beast/http.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace cyclamenhold
{
namespace
{

namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

std::string reply_of(
    const std::string& status, const std::string& id, const std::string& fields)
{
    return "HTTP/1.1 " + status + "\r\nX-Cyclamenhold-Request-Id: " + id +
           "\r\n" + fields + "\r\n";
}

std::string refusal_of(const std::string& id)
{
    return reply_of(
        "503 Service Unavailable", id,
        "X-Cyclamenhold-Not-Executed: 1\r\nContent-Length: 0\r\n");
}

std::string success_of(const std::string& id)
{
    return reply_of(
               "200 OK", id,
               "X-Cyclamenhold-Response-Signature: s\r\nContent-Length: "
               "2\r\n") +
           "ok";
}

// The bytes that the upstream writes for its n-th request, counted over all
// connections, with that request's number on its connection. It closes the
// connection after an empty answer and after one that ends with `closing`.
using answer_script = std::function<std::string(int number, int on_connection)>;
const std::string closing = "<close>";

struct call_outcome
{
    unsigned status = 0;
    std::string body;
    bool is_complete = false;
    std::optional<outcome> failure;
};

struct scripted_connection_server
{
    explicit scripted_connection_server(answer_script answers)
        : script(std::move(answers))
    {
        asio::co_spawn(io, accept(), asio::detached);
        set_address(pool, {acceptor.local_endpoint(), "i-1", 1});
    }

    asio::awaitable<void> accept()
    {
        for (;;)
        {
            auto [error, socket] = co_await acceptor.async_accept(as_result);
            if (error)
            {
                co_return;
            }
            asio::co_spawn(io, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        for (int on_connection = 1;; ++on_connection)
        {
            http::request<http::string_body> request;
            const auto [error, size] =
                co_await http::async_read(socket, buffer, request, as_result);
            if (error)
            {
                co_return;
            }
            std::string bytes = script(++requests, on_connection);
            const bool closes = bytes.ends_with(closing);
            if (closes)
            {
                bytes.resize(bytes.size() - closing.size());
            }
            co_await asio::async_write(socket, asio::buffer(bytes), as_result);
            if (closes)
            {
                co_return;
            }
        }
    }

    // Sends a request as the gate does, on a pooled connection.
    call_outcome send(const std::string& id)
    {
        auto work = std::make_shared<exchange>(io.get_executor(), 4, 64);
        work->head.method = "POST";
        work->head.target = "/order";
        work->head.headers = {{"X-Cyclamenhold-Request-Id", id}};
        work->context.deadline = now() + 2s;
        work->body.try_send(boost::system::error_code(), body_chunk{"", true});
        upstream_call call;
        call.work = work;
        call.connection = take_connection(pool, io.get_executor(), id);
        call.endpoint = acceptor.local_endpoint();
        call.names = &names;
        call.report = [this, work]
        {
            if (cancels_at_report)
            {
                cancel(*work);
            }
            return load_report{};
        };
        call.on_notice = [this](const upstream_notice& notice)
        {
            last_notice = notice;
        };
        call.returned_allowance = []
        {
            return std::uint16_t{0};
        };
        const auto connection = call.connection;
        last_connection = connection;
        std::optional<upstream_result> result;
        asio::co_spawn(
            io, call_upstream(std::move(call)),
            [&](const std::exception_ptr&, const upstream_result& ended)
            {
                result = ended;
                last_result = ended;
            });
        const time_point limit = now() + 10s;
        while (!result && now() < limit)
        {
            io.run_one_for(20ms);
        }
        EXPECT_TRUE(result);
        if (result && result->reusable)
        {
            return_connection(pool, connection);
        }
        return read_outcome(*work);
    }

    static call_outcome read_outcome(exchange& work)
    {
        call_outcome read;
        const auto on_event = [&](const boost::system::error_code& error,
                                  const reply_event& event)
        {
            if (error)
            {
                return;
            }
            read.status = event.head ? event.head->status : read.status;
            read.body += event.bytes;
            read.is_complete = read.is_complete || event.last;
            if (event.failure)
            {
                read.failure = event.failure->result;
            }
        };
        while (work.reply.try_receive(on_event))
        {
        }
        return read;
    }

    asio::io_context io{1};
    tcp::acceptor acceptor{io, {asio::ip::address_v4::loopback(), 0}};
    header_names names = platform::platform_header_names();
    upstream_pool pool;
    answer_script script;
    int requests = 0;
    upstream_notice last_notice;
    upstream_connection_ptr last_connection;
    upstream_result last_result;
    // Cancels the request while its failure is being passed on.
    bool cancels_at_report = false;
};

// An upstream wrote a refusal twice on a kept connection. The same request,
// sent to it again, met the second copy: its caller was told "not run" while
// the upstream ran it (REFUSED), or it ran at another upstream as well (TWICE).
TEST(upstream_client, a_refusal_written_twice_ends_no_later_request)
{
    {
        SCOPED_TRACE("both copies at once");
        scripted_connection_server upstream(
            [](int number, int)
            {
                return number == 1 ? refusal_of("a") + refusal_of("a")
                                   : success_of("a");
            });
        EXPECT_EQ(upstream.send("a").failure, outcome::not_run);
        EXPECT_EQ(upstream.send("a").status, 200U);
    }
    {
        SCOPED_TRACE("the second copy when the next reply is due");
        scripted_connection_server upstream(
            [](int number, int on_connection)
            {
                return number == 1          ? refusal_of("a")
                       : on_connection == 1 ? success_of("a")
                                            : refusal_of("a") + success_of("a");
            });
        EXPECT_EQ(upstream.send("a").failure, outcome::not_run);
        EXPECT_EQ(upstream.send("a").status, 200U);
    }
    {
        SCOPED_TRACE("other requests on the connection are not affected");
        scripted_connection_server upstream(
            [](int number, int)
            {
                return number == 1 ? refusal_of("a")
                                   : refusal_of("a") + success_of("b");
            });
        EXPECT_EQ(upstream.send("a").failure, outcome::not_run);
        EXPECT_EQ(upstream.send("b").status, 200U);
    }
    {
        SCOPED_TRACE("a refusal without an id belongs to no request");
        scripted_connection_server upstream(
            [](int, int)
            {
                return "HTTP/1.1 503 Busy\r\nX-Cyclamenhold-Not-Executed: 1\r\n"
                       "Content-Length: 0\r\n\r\n" +
                       success_of("a");
            });
        EXPECT_EQ(upstream.send("a").status, 200U);
    }
}

// A rate that can't be read must neither end the one that was named before nor
// replace it; only a reply without the field ends it.
TEST(upstream_client, an_unreadable_rate_leaves_the_named_one_in_force)
{
    std::string fields;
    scripted_connection_server upstream(
        [&](int, int)
        {
            return reply_of(
                "200 OK", "a",
                "X-Cyclamenhold-Response-Signature: s\r\n"
                "Content-Length: 0\r\n" +
                    fields);
        });
    rate_cap cap;
    const auto rate_after = [&](const std::string& value)
    {
        fields = "Server-Limit: " + value + "\r\n";
        upstream.send("a");
        cap_set(cap, upstream.last_notice.rate, now());
        return cap.rate;
    };
    EXPECT_EQ(rate_after("20.5"), 20.5);
    for (const char* odd : {"many", "-1", "1e999", "20 a second", "nan", "inf"})
    {
        EXPECT_EQ(rate_after(odd), 20.5) << odd;
    }
    EXPECT_EQ(rate_after("0"), 0.0);
    fields = "";
    upstream.send("a");
    cap_set(cap, upstream.last_notice.rate, now());
    EXPECT_FALSE(cap.rate);
}

// An upstream that stops in the head of its reply and closes must not look like
// one with an empty or short body (MIXED, ORDER).
TEST(upstream_client, a_head_that_stops_anywhere_is_no_reply)
{
    const std::string whole = success_of("a");
    const std::size_t head_size = whole.size() - 2;
    for (std::size_t size = 0; size < whole.size(); ++size)
    {
        SCOPED_TRACE(size);
        scripted_connection_server upstream(
            [&](int, int)
            {
                return whole.substr(0, size) + closing;
            });
        const auto received = upstream.send("a");
        EXPECT_FALSE(received.is_complete);
        EXPECT_EQ(received.failure, outcome::unknown);
        if (size < head_size)
        {
            EXPECT_EQ(received.status, 0U);
        }
    }
}

// Bytes that are no reply came without end: in a head, in the line before a
// chunk or in a trailer. The node kept them until it ran out of memory, and the
// requests of other callers ended with it (LOST).
TEST(upstream_client, bytes_without_end_are_not_kept)
{
    const std::string endless(8 * 1024 * 1024, 'x');
    const std::string head = reply_of(
        "200 OK", "a",
        "X-Cyclamenhold-Response-Signature: s\r\n"
        "Transfer-Encoding: chunked\r\n");
    const std::vector<std::pair<std::string, std::string>> replies{
        {"no head", endless},
        {"field", "HTTP/1.1 200 OK\r\nField: " + endless},
        {"chunk extension", head + "1;" + endless},
        {"chunk size", head + std::string(endless.size(), '0')},
        {"trailer", head + "1\r\na\r\n0\r\nField: " + endless}};
    for (const auto& [name, bytes] : replies)
    {
        SCOPED_TRACE(name);
        scripted_connection_server upstream(
            [&bytes = bytes](int, int)
            {
                return bytes;
            });
        const time_point start = now();
        const auto received = upstream.send("a");
        EXPECT_FALSE(received.is_complete);
        EXPECT_EQ(received.failure, outcome::unknown);
        EXPECT_LE(
            upstream.last_connection->buffer.capacity(),
            max_unparsed_reply_bytes);
        // The deadline is 2 s away.
        EXPECT_LT(now() - start, 1s);
    }
}

// The body of a refusal came without end. It kept the caller waiting until its
// deadline, though the request had not run and could be sent elsewhere.
TEST(upstream_client, a_refusal_with_an_endless_body_is_reported_at_once)
{
    scripted_connection_server upstream(
        [](int, int)
        {
            return reply_of(
                       "503 Service Unavailable", "a",
                       "X-Cyclamenhold-Not-Executed: 1\r\n"
                       "Content-Length: 1000000000\r\n") +
                   std::string(1024 * 1024, 'x');
        });
    const time_point start = now();
    EXPECT_EQ(upstream.send("a").failure, outcome::not_run);
    EXPECT_LT(now() - start, 1s);
    EXPECT_TRUE(upstream.pool.idle.empty());
}

// The receiver of a failure cancels the exchange. If it did so before the gate
// had the result, a request under which the upstream broke the connection was
// taken for a cancelled one, and the crash went unreported (BUDGET).
TEST(upstream_client, a_broken_request_whose_failure_is_received_is_broken)
{
    scripted_connection_server server(
        [](int, int)
        {
            return closing;
        });
    server.cancels_at_report = true;
    server.send("r-1");
    EXPECT_EQ(server.last_result.result, gate_result::failed);
    EXPECT_TRUE(server.last_result.broke);
}

// An upstream in trouble sent a status without a meaning, and the caller got it
// as an answer (MIXED).
TEST(upstream_client, a_status_without_a_meaning_is_no_answer)
{
    for (const std::string status :
         {"000 Odd", "099 Odd", "101 Switching Protocols", "600 Odd", "700 Odd",
          "999 Odd"})
    {
        SCOPED_TRACE(status);
        scripted_connection_server upstream(
            [&](int, int)
            {
                return reply_of(
                           status, "a",
                           "X-Cyclamenhold-Response-Signature: s\r\n"
                           "Content-Length: 2\r\n") +
                       "no";
            });
        const auto answer = upstream.send("a");
        EXPECT_EQ(answer.status, 0U);
        EXPECT_EQ(answer.body, "");
        EXPECT_EQ(answer.failure, outcome::unknown);
        EXPECT_EQ(upstream.last_result.result, gate_result::failed);
        EXPECT_FALSE(upstream.last_result.reusable);
    }
    for (const std::string status : {"200 OK", "404 Not Found", "599 Odd"})
    {
        SCOPED_TRACE("others are passed on: " + status);
        scripted_connection_server upstream(
            [&](int, int)
            {
                return reply_of(
                           status, "a",
                           "X-Cyclamenhold-Response-Signature: s\r\n"
                           "Content-Length: 2\r\n") +
                       "ok";
            });
        EXPECT_EQ(upstream.send("a").status, std::stoul(status));
    }
}

// An interim reply took the place of the final one.
TEST(upstream_client, an_interim_reply_is_followed_by_another)
{
    for (const std::string interim : {"100 Continue", "103 Early Hints"})
    {
        SCOPED_TRACE(interim);
        scripted_connection_server upstream(
            [&](int, int)
            {
                return reply_of(interim, "a", "") + success_of("a");
            });
        const auto answer = upstream.send("a");
        EXPECT_EQ(answer.status, 200U);
        EXPECT_EQ(answer.body, "ok");
    }
}

} // namespace
} // namespace cyclamenhold
