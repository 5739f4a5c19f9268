// End-to-end guarantees, tested with separate processes for the platform, the
// nodes and the upstreams.
#include "core/intent/configuration_json.hpp"
#include "core/request/request_tables.hpp"

#include <gtest/gtest.h>

#include "process/fleet_processes.hpp"

namespace cyclamenhold
{
namespace
{

using namespace process_tests;

constexpr const char* secret = "5ecre7-of-the-school";
const std::string key = std::string("cyk_school_") + secret;

json::array operations()
{
    return {
        {{"op", "put-data-centre"},
         {"name", "brno"},
         {"region", "moravia"},
         {"weight", 1}},
        {{"op", "put-workspace"},
         {"name", "school"},
         {"rate", 1000},
         {"burst", 1000}},
        {{"op", "put-key"},
         {"id", "school"},
         {"workspace", "school"},
         {"digest", to_hex(digest_of_secret(fleet_secret, secret))}},
        {{"op", "put-route"},
         {"name", "booking"},
         {"path_prefix", "/booking"},
         {"service", "booking"},
         {"priority", "critical"}},
        {{"op", "put-route"},
         {"name", "charge"},
         {"path_prefix", "/charge"},
         {"service", "payments"},
         {"priority", "critical"},
         {"never_repeat", true}},
        {{"op", "put-route"},
         {"name", "open"},
         {"path_prefix", "/open"},
         {"service", "payments"},
         {"open", true}}};
}

// Two nodes: one at a booking upstream, which calls payments, and one at a
// payments upstream.
class two_nodes : public testing::Test
{
protected:
    void SetUp() override
    {
        hosts.add_node();
        hosts.add_node();
        hosts.add_upstream(0, "booking", {"--calls", "/charge/child"});
        hosts.add_upstream(1, "payments", {"--crash", "close"});
        hosts.configure(operations());
        for (std::size_t node = 0; node < 2; ++node)
        {
            ASSERT_TRUE(hosts.wait_until_served(node, "/booking/ready", key));
            ASSERT_TRUE(hosts.wait_until_served(node, "/charge/ready", key));
        }
    }

    std::string callers(std::size_t node)
    {
        return hosts.nodes[node]->endpoint("callers");
    }

    // Number of requests run by the upstream whose path contains `text`.
    std::size_t runs_of(std::size_t upstream, const std::string& text)
    {
        const auto ran = send_once(
            hosts.upstreams[upstream]->endpoint("control"),
            {http::verb::get, "/v1/ran", {}, {}, {}});
        std::size_t count = 0;
        for (auto at = ran.body.find(text); at != std::string::npos;
             at = ran.body.find(text, at + 1))
        {
            ++count;
        }
        return count;
    }

    fleet hosts;
};

// Guards against workspace keys that reach an upstream, from the request or
// through child calls, and against requests that run without a key.
TEST_F(two_nodes, keys_are_not_forwarded_to_upstreams)
{
    http_call call{http::verb::get, "/booking/" + key.substr(0, 3), key};
    EXPECT_EQ(send_once(callers(1), call).status, 200U);
    {
        SCOPED_TRACE("a request with a key in its target is refused");
        call.target = "/booking/?key=" + key;
        const auto refused = send_once(callers(0), call);
        EXPECT_EQ(refused.status, 400U);
        EXPECT_EQ(refused.outcome, "not-run");
    }
    {
        SCOPED_TRACE("no upstream received a key, not even in child calls");
        for (const auto& upstream : hosts.upstreams)
        {
            const auto received = send_once(
                upstream->endpoint("control"),
                {http::verb::get, "/v1/received", {}, {}, {}});
            ASSERT_EQ(received.status, 200U);
            EXPECT_NE(received.body.find("Cyclamen-Call"), std::string::npos);
            EXPECT_EQ(received.body.find(secret), std::string::npos);
        }
    }
    {
        SCOPED_TRACE("without a key only the open route is served");
        EXPECT_EQ(
            send_once(callers(0), {http::verb::get, "/open/x"}).status, 200U);
        EXPECT_EQ(
            send_once(callers(0), {http::verb::get, "/booking/x"}).status,
            401U);
    }
}

// Guards against a withdrawn key that is still accepted on a connection that
// was open before the withdrawal.
TEST_F(two_nodes, withdrawn_key_is_refused_on_open_connections)
{
    client connection(callers(1));
    EXPECT_EQ(
        connection.send({http::verb::get, "/charge/open", key}).status, 200U);
    hosts.configure({{{"op", "withdraw-key"}, {"id", "school"}}});
    EXPECT_TRUE(wait_until(
        [&]
        {
            return connection.send({http::verb::get, "/charge/open", key})
                       .status == 401;
        },
        std::chrono::seconds(3)));
}

// Guards against wrong outcomes and repeated runs when an upstream crashes
// during a never-repeat request.
TEST_F(two_nodes, outcomes_match_runs_when_an_upstream_crashes)
{
    {
        SCOPED_TRACE(
            "a crash during a never-repeat request has outcome unknown");
        const auto answer = send_once(
            callers(0),
            {http::verb::post, "/charge/deadly", key, "cyclamen-poison"});
        EXPECT_NE(answer.status, 200U);
        EXPECT_EQ(answer.outcome, "unknown");
        EXPECT_LE(runs_of(1, "/charge/deadly"), 1U);
    }
    {
        SCOPED_TRACE("the outcome is correct while the upstream is down");
        const auto answer = send_once(
            callers(0), {http::verb::post, "/charge/away", key, "body"});
        const std::size_t runs = runs_of(1, "/charge/away");
        EXPECT_LE(runs, 1U);
        EXPECT_TRUE(answer.outcome != "not-run" || runs == 0U);
        EXPECT_TRUE(answer.outcome != "ran" || runs == 1U);
    }
    {
        SCOPED_TRACE("the upstream serves again after it announces itself");
        EXPECT_TRUE(hosts.wait_until_served(0, "/charge/back", key));
    }
}

// Guards against failed requests and truncated replies with bodies of 8 MiB.
TEST_F(two_nodes, large_bodies_arrive_complete)
{
    constexpr std::size_t size = 8 * 1024 * 1024;
    const http_call call{
        http::verb::post, "/charge/scan?reply_bytes=" + std::to_string(size),
        key, std::string(size, 's')};
    const auto answer = send_once(callers(0), call);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body.size(), size);
}

// Guards against requests that fail after they may have run, while an upstream
// and its node stop on SIGTERM.
TEST_F(two_nodes, planned_stop_aborts_no_request)
{
    std::atomic<bool> done{false};
    std::atomic<int> aborted{0};
    std::atomic<int> completed{0};
    std::thread load_thread(
        [&]
        {
            client connection(callers(0));
            while (!done)
            {
                const auto answer =
                    connection.send({http::verb::get, "/charge/load", key});
                answer.status == 200
                    ? ++completed
                    : (answer.outcome == "not-run" ? 0 : ++aborted);
            }
        });
    EXPECT_TRUE(wait_until(
        [&]
        {
            return completed > 50;
        }));
    hosts.upstreams[1]->signal(SIGTERM);
    EXPECT_EQ(hosts.upstreams[1]->wait(), 0);
    hosts.nodes[1]->signal(SIGTERM);
    EXPECT_EQ(hosts.nodes[1]->wait(), 0);
    done = true;
    load_thread.join();
    EXPECT_EQ(aborted, 0);
    hosts.nodes[0]->signal(SIGTERM);
    EXPECT_EQ(hosts.nodes[0]->wait(), 0);
}

// Guards against a node that crashes or sends no error reply on malformed HTTP,
// and against a peers port that serves other clients.
TEST_F(two_nodes, malformed_input_is_refused_and_node_keeps_serving)
{
    using boost::asio::ip::tcp;
    const auto colon = callers(0).find(':');
    const auto port =
        static_cast<std::uint16_t>(std::stoi(callers(0).substr(colon + 1)));
    for (const std::string& text :
         {std::string("\x01\x02nonsense\r\n\r\n"),
          std::string("GET / HTTP/9.9\r\n\r\n"),
          "GET / HTTP/1.1\r\nX: " + std::string(40'000, 'x') + "\r\n\r\n"})
    {
        boost::asio::io_context io;
        tcp::socket socket(io);
        socket.connect({boost::asio::ip::address_v4::loopback(), port});
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(text), ignored);
        std::string reply;
        boost::asio::read(socket, boost::asio::dynamic_buffer(reply), ignored);
        EXPECT_EQ(reply.rfind("HTTP/1.1 4", 0), 0U) << text.substr(0, 20);
    }
    {
        SCOPED_TRACE(
            "a connection to the peers port without a handshake is closed");
        const auto peers = hosts.nodes[0]->endpoint("peers");
        EXPECT_EQ(
            send_once(peers, {http::verb::get, "/", {}, {}, {}}).status, 0U);
    }
    EXPECT_TRUE(hosts.wait_until_served(0, "/charge/still", key));
}

// Guards against requests that fail because the platform is down, and against a
// node that sends no reply while another node is stopped.
TEST_F(two_nodes, node_replies_without_platform_or_peer)
{
    const auto down = send_once(
        hosts.platform.endpoint("listening"),
        {http::verb::put, "/v1/faults", {}, R"({"down":true})", {}});
    ASSERT_EQ(down.status, 200U) << down.body;
    EXPECT_EQ(
        send_once(callers(0), {http::verb::get, "/charge/on", key}).status,
        200U);
    {
        SCOPED_TRACE("a paused node does not block the other node");
        hosts.nodes[1]->signal(SIGSTOP);
        const auto answer =
            send_once(callers(0), {http::verb::get, "/charge/paused", key});
        EXPECT_NE(answer.status, 0U);
        hosts.nodes[1]->signal(SIGCONT);
        EXPECT_TRUE(hosts.wait_until_served(0, "/charge/resumed", key));
    }
}

} // namespace
} // namespace cyclamenhold
