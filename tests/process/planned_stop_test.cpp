// A planned stop of one node while requests go on.
#include <gtest/gtest.h>

#include "process/scripted_upstream.hpp"

#include <csignal>
#include <future>
#include <set>

namespace cyclamenhold
{
namespace
{

using namespace process_tests;
using std::chrono::milliseconds;

// The targets of requests, by what became of them.
struct request_log
{
    void add(std::set<std::string>& to, const std::string& target)
    {
        const std::scoped_lock lock(mutex);
        to.insert(target);
    }

    std::mutex mutex;
    // Passed on to the upstream.
    std::set<std::string> received;
    // Answered completely by the upstream's reply.
    std::set<std::string> replied;
    // Answered by a refusal that says the request has not run.
    std::set<std::string> refused;
};

// Sends POST requests on kept connections until `done`. A connection that ends
// is replaced by a new one.
void send_until(
    const std::atomic<bool>& done, const std::string& endpoint,
    const std::string& name, request_log& log)
{
    auto connection = std::make_unique<client>(endpoint);
    for (int number = 0; !done; ++number)
    {
        const std::string target =
            "/orders/" + name + '/' + std::to_string(number);
        const auto answer =
            connection->send({http::verb::post, target, {}, "order", {}});
        if (answer.status == 200)
        {
            log.add(log.replied, target);
            continue;
        }
        if (answer.outcome == "not-run")
        {
            log.add(log.refused, target);
        }
        std::this_thread::sleep_for(milliseconds(20));
        connection = std::make_unique<client>(endpoint);
    }
}

// Requests that came late in a planned stop were passed on to the upstream and
// cut off without an answer when the node ended (LOST), on the stopping node
// and at its peers. Each request that the upstream receives must be answered by
// its reply.
TEST(planned_stop, every_request_that_is_passed_on_gets_its_reply)
{
    // A request has half of the stop; the rest is for a busy machine.
    constexpr auto stop_timeout = milliseconds(4'000);
    constexpr auto service_time = milliseconds(1'650);
    request_log log;
    fleet hosts;
    hosts.stop_timeout = stop_timeout;
    hosts.add_node();
    hosts.add_node();
    const scripted_upstream upstream(
        hosts.nodes[1]->endpoint("upstream"), "orders",
        [&](const scripted_request& request, scripted_reply& reply)
        {
            if (request.target != "/orders/ready")
            {
                log.add(log.received, request.target);
                std::this_thread::sleep_for(service_time);
            }
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
          {"deadline_ms", 6'000},
          {"open", true}}});
    ASSERT_TRUE(hosts.wait_until_served(0, "/orders/ready", {}));
    ASSERT_TRUE(hosts.wait_until_served(1, "/orders/ready", {}));
    std::atomic<bool> done{false};
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 40; ++i)
    {
        callers.emplace_back(
            [&, i]
            {
                std::this_thread::sleep_for(milliseconds(45 * i));
                send_until(
                    done, hosts.nodes[i % 2]->endpoint("callers"),
                    std::to_string(i), log);
            });
    }
    std::this_thread::sleep_for(milliseconds(2'500));
    hosts.nodes[1]->signal(SIGTERM);
    EXPECT_EQ(hosts.nodes[1]->wait(), 0);
    done = true;
    for (auto& caller : callers)
    {
        caller.join();
    }
    EXPECT_GT(log.replied.size(), 40U);
    for (const auto& target : log.received)
    {
        EXPECT_TRUE(log.replied.contains(target)) << target;
    }
    for (const auto& target : log.refused)
    {
        EXPECT_FALSE(log.received.contains(target)) << target;
    }
}

// Requests that came more than 3 s after the signal were taken for half of the
// stop and cut when it ended (LOST). One that may outlast the stop must be
// refused, one that ends before it is still answered.
TEST(planned_stop, late_requests_that_may_outlast_it_are_refused)
{
    constexpr auto stop_timeout = milliseconds(9'000);
    constexpr auto sent_after = milliseconds(3'300);
    constexpr auto service_time = milliseconds(5'800);
    fleet hosts;
    hosts.stop_timeout = stop_timeout;
    hosts.add_node();
    hosts.add_node();
    std::atomic<int> late_runs{0};
    const scripted_upstream upstream(
        hosts.nodes[1]->endpoint("upstream"), "orders",
        [&](const scripted_request& request, scripted_reply& reply)
        {
            if (request.target == "/long/early" ||
                request.target == "/long/late")
            {
                late_runs += request.target == "/long/late" ? 1 : 0;
                std::this_thread::sleep_for(service_time);
            }
            return reply.write(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
    hosts.configure(
        {{{"op", "put-data-centre"},
          {"name", "brno"},
          {"region", "moravia"},
          {"weight", 1}},
         {{"op", "put-route"},
          {"name", "long"},
          {"path_prefix", "/long"},
          {"service", "orders"},
          {"deadline_ms", 8'000},
          {"open", true}},
         {{"op", "put-route"},
          {"name", "short"},
          {"path_prefix", "/short"},
          {"service", "orders"},
          {"deadline_ms", 2'000},
          {"open", true}}});
    ASSERT_TRUE(hosts.wait_until_served(0, "/short/ready", {}));
    ASSERT_TRUE(hosts.wait_until_served(0, "/long/ready", {}));
    const auto get = [callers = hosts.nodes[0]->endpoint("callers")](
                         const std::string& target)
    {
        return send_once(callers, {http::verb::get, target, {}, {}, {}});
    };
    // Keeps the node from stopping at once.
    auto early = std::async(std::launch::async, get, "/long/early");
    std::this_thread::sleep_for(milliseconds(200));
    hosts.nodes[0]->signal(SIGTERM);
    std::this_thread::sleep_for(sent_after);
    auto late = std::async(std::launch::async, get, "/long/late");
    EXPECT_EQ(get("/short/late").status, 200U);
    EXPECT_EQ(early.get().status, 200U);
    const http_answer refusal = late.get();
    EXPECT_EQ(refusal.status, 503U);
    EXPECT_EQ(refusal.outcome, "not-run");
    EXPECT_EQ(late_runs, 0);
    EXPECT_EQ(hosts.nodes[0]->wait(), 0);
}

} // namespace
} // namespace cyclamenhold
