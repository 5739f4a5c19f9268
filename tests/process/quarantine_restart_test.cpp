// A request that crashes upstreams, before and after restarts of the nodes.
#include <gtest/gtest.h>

#include "process/fleet_processes.hpp"

#include <csignal>

namespace cyclamenhold
{
namespace
{

using namespace process_tests;

const http_call crashing_request{
    http::verb::post, "/orders/odd", {}, "cyclamen-poison", {}};

class crashed_upstreams : public testing::Test
{
protected:
    static constexpr std::size_t size = 3;
    // The exit code of an upstream after a crash.
    static constexpr int crashed = 70;

    void SetUp() override
    {
        for (std::size_t host = 0; host < size; ++host)
        {
            start_host();
        }
        hosts.configure(
            {{{"op", "put-data-centre"},
              {"name", "brno"},
              {"region", "moravia"},
              {"weight", 1}},
             {{"op", "put-route"},
              {"name", "orders"},
              {"path_prefix", "/orders"},
              {"service", "orders"},
              {"open", true}}});
        for (std::size_t host = 0; host < size; ++host)
        {
            ASSERT_TRUE(hosts.wait_until_served(host, "/orders/ready", {}));
        }
        // Ends each of the upstreams in turn.
        ASSERT_TRUE(wait_until(
            [&]
            {
                return send_once(callers(0), crashing_request).status == 422;
            }));
        for (std::size_t host = 0; host < size; ++host)
        {
            EXPECT_EQ(hosts.upstreams[host]->wait(), crashed);
            hosts.add_upstream(host, "orders");
            std::swap(hosts.upstreams[host], hosts.upstreams.back());
            hosts.upstreams.pop_back();
        }
    }

    // Starts a node and an upstream beside it.
    void start_host()
    {
        hosts.add_node();
        hosts.add_upstream(hosts.nodes.size() - 1, "orders");
    }

    void stop_host(std::size_t host, int signal)
    {
        hosts.upstreams[host]->signal(SIGKILL);
        hosts.upstreams[host]->wait();
        hosts.nodes[host]->signal(signal);
        hosts.nodes[host]->wait();
    }

    // The host must serve other requests and refuse the crashing one.
    void expect_refused(std::size_t host)
    {
        ASSERT_TRUE(hosts.wait_until_served(host, "/orders/ready", {}));
        const auto answer = send_once(callers(host), crashing_request);
        EXPECT_EQ(answer.status, 422U);
        EXPECT_EQ(answer.outcome, "not-run") << answer.body;
        const auto ran = send_once(
            hosts.upstreams[host]->endpoint("control"),
            {http::verb::get, "/v1/ran", {}, {}, {}});
        EXPECT_EQ(ran.status, 200U) << "the upstream has crashed";
        EXPECT_EQ(ran.body.find("/orders/odd"), std::string::npos);
    }

    std::string callers(std::size_t node)
    {
        return hosts.nodes[node]->endpoint("callers");
    }

    fleet hosts;
};

// Nodes that were killed or stopped and started again one after the other ran a
// request that was in quarantine at all others (BUDGET).
TEST_F(crashed_upstreams, a_node_that_starts_again_keeps_the_quarantine)
{
    for (std::size_t host = 0; host < size; ++host)
    {
        const int signal = host % 2 == 0 ? SIGKILL : SIGTERM;
        SCOPED_TRACE(signal == SIGKILL ? "killed" : "stopped");
        stop_host(host, signal);
        start_host();
        expect_refused(hosts.nodes.size() - 1);
    }
}

// After a loss of all nodes the request ran until it had crashed three more
// upstreams (BUDGET).
TEST_F(crashed_upstreams, the_quarantine_outlasts_all_nodes)
{
    for (std::size_t host = 0; host < size; ++host)
    {
        stop_host(host, SIGKILL);
    }
    for (std::size_t host = size; host < 2 * size; ++host)
    {
        start_host();
    }
    for (std::size_t host = size; host < 2 * size; ++host)
    {
        expect_refused(host);
    }
}

} // namespace
} // namespace cyclamenhold
