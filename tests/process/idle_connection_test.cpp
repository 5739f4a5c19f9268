// Requests on kept connections about when the limit for idle ones runs out.
#include <gtest/gtest.h>

#include "process/scripted_upstream.hpp"

#include <atomic>

namespace cyclamenhold
{
namespace
{

using namespace process_tests;
using std::chrono::milliseconds;

constexpr auto idle_timeout = milliseconds(1'500);

class idle_connections : public testing::Test
{
protected:
    void SetUp() override
    {
        hosts.limits = {{"idle_timeout_ms", idle_timeout.count()}};
        hosts.add_node();
        upstream = std::make_unique<scripted_upstream>(
            hosts.nodes[0]->endpoint("upstream"), "orders",
            [this](const scripted_request& request, scripted_reply& reply)
            {
                received += request.target == "/orders/kept" ? 1 : 0;
                return reply.write(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            });
        hosts.configure(
            {{{"op", "put-data-centre"},
              {"name", "brno"},
              {"region", "moravia"},
              {"weight", 1}},
             {{"op", "put-route"},
              {"name", "orders"},
              {"path_prefix", "/orders"},
              {"service", "orders"},
              {"never_repeat", true},
              {"open", true}}});
        ASSERT_TRUE(hosts.wait_until_served(0, "/orders/ready", {}));
    }

    [[nodiscard]] std::string callers() const
    {
        return hosts.nodes[0]->endpoint("callers");
    }

    fleet hosts;
    // Requests for /orders/kept that reached the upstream.
    std::atomic<int> received{0};
    std::unique_ptr<scripted_upstream> upstream;
};

// A request that arrived as the limit ran out was passed on, and its connection
// closed without an answer (LOST). The node is stopped meanwhile, so that it
// finds both at once.
TEST_F(idle_connections, a_request_that_arrives_as_the_limit_runs_out)
{
    constexpr int connections = 20;
    std::vector<std::unique_ptr<client>> kept;
    kept.reserve(connections);
    for (int i = 0; i < connections; ++i)
    {
        kept.push_back(std::make_unique<client>(callers()));
        ASSERT_EQ(
            kept.back()
                ->send({http::verb::post, "/orders/first", {}, "order", {}})
                .status,
            200U);
    }
    hosts.nodes[0]->signal(SIGSTOP);
    std::atomic<int> answered{0};
    std::vector<std::thread> callers;
    callers.reserve(connections);
    for (const auto& connection : kept)
    {
        callers.emplace_back(
            [&answered, &connection]
            {
                const auto answer = connection->send(
                    {http::verb::post, "/orders/kept", {}, "order", {}});
                answered += answer.status == 200 ? 1 : 0;
            });
    }
    std::this_thread::sleep_for(idle_timeout + milliseconds(200));
    hosts.nodes[0]->signal(SIGCONT);
    for (auto& caller : callers)
    {
        caller.join();
    }
    EXPECT_EQ(answered, received);
    EXPECT_EQ(answered, connections);
}

TEST_F(idle_connections, are_closed_after_the_limit)
{
    client kept(callers());
    EXPECT_EQ(kept.send({http::verb::get, "/orders/first"}).status, 200U);
    {
        SCOPED_TRACE("the limit counts from the last reply");
        std::this_thread::sleep_for(idle_timeout / 2);
        EXPECT_EQ(kept.send({http::verb::get, "/orders/next"}).status, 200U);
        std::this_thread::sleep_for(idle_timeout * 2 / 3);
        EXPECT_EQ(kept.send({http::verb::get, "/orders/next"}).status, 200U);
    }
    std::this_thread::sleep_for(idle_timeout + milliseconds(500));
    EXPECT_EQ(kept.send({http::verb::get, "/orders/kept"}).status, 0U);
    EXPECT_EQ(received, 0);
}

} // namespace
} // namespace cyclamenhold
