// A planned stop of one node while requests go on.
#include <gtest/gtest.h>

#include "process/scripted_upstream.hpp"

#include <csignal>
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

} // namespace
} // namespace cyclamenhold
