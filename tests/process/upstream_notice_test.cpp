// What an upstream says about itself in the heads of its replies.
#include <gtest/gtest.h>

#include "process/scripted_upstream.hpp"

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

namespace cyclamenhold
{
namespace
{

using namespace process_tests;
using std::chrono::steady_clock;

std::string reply_with(const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + fields + "\r\nok";
}

// Two nodes; requests enter at both, the upstream is at the second. Its replies
// have `fields`.
class upstream_notices : public testing::Test
{
protected:
    void start()
    {
        hosts.add_node();
        hosts.add_node();
        start_upstream();
        hosts.configure(
            {{{"op", "put-data-centre"},
              {"name", "brno"},
              {"region", "moravia"},
              {"weight", 1}},
             {{"op", "put-route"},
              {"name", "notes"},
              {"path_prefix", "/notes"},
              {"service", "notes"},
              {"retry_allowance", 0},
              {"deadline_ms", 300},
              {"open", true}}});
        ASSERT_TRUE(hosts.wait_until_served(0, "/notes", {}));
        ASSERT_TRUE(hosts.wait_until_served(1, "/notes", {}));
    }

    void start_upstream()
    {
        upstream = std::make_unique<scripted_upstream>(
            hosts.nodes[1]->endpoint("upstream"), "notes",
            [this](const scripted_request&, scripted_reply& reply)
            {
                ++received;
                const std::scoped_lock lock(mutex);
                return reply.write(reply_with(fields));
            });
    }

    void set_fields(const std::string& text)
    {
        const std::scoped_lock lock(mutex);
        fields = text;
    }

    // Sends requests at both nodes on several connections for `time`. Returns
    // the number of answers by node refusals that say the request has not run.
    int send_for(steady_clock::duration time)
    {
        const auto until = steady_clock::now() + time;
        std::atomic<int> refused{0};
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < 6; ++i)
        {
            callers.emplace_back(
                [&, endpoint = hosts.nodes[i % 2]->endpoint("callers")]
                {
                    while (steady_clock::now() < until)
                    {
                        const auto answer =
                            send_once(endpoint, {http::verb::get, "/notes"});
                        refused += answer.outcome == "not-run" ? 1 : 0;
                    }
                });
        }
        for (auto& caller : callers)
        {
            caller.join();
        }
        return refused;
    }

    fleet hosts;
    std::mutex mutex;
    std::string fields;
    std::atomic<int> received{0};
    std::unique_ptr<scripted_upstream> upstream;
};

// An upstream that named the rate it takes got every request (LIMIT).
TEST_F(upstream_notices, a_named_rate_holds_for_requests_of_all_nodes)
{
    constexpr int rate = 10;
    constexpr auto time = std::chrono::seconds(2);
    start();
    set_fields("Cyclamen-Rate-Limit: 10.0\r\n");
    ASSERT_TRUE(hosts.wait_until_served(0, "/notes", {}));
    received = 0;
    const int refused = send_for(time);
    EXPECT_LE(received, 1.5 * rate * 4 + 5);
    EXPECT_GT(received, 0);
    EXPECT_GT(refused, 0);
    {
        SCOPED_TRACE("a reply without the field ends it");
        set_fields("");
        ASSERT_TRUE(hosts.wait_until_served(0, "/notes", {}));
        received = 0;
        send_for(time);
        EXPECT_GT(received, 1.5 * rate * 4 + 5);
    }
}

// An upstream whose replies said that it leaves got requests until its next
// announcement said so, or for good (DRAIN).
TEST_F(upstream_notices, an_upstream_that_says_it_leaves_gets_no_more_requests)
{
    start();
    set_fields("Cyclamen-Leaving: 1\r\n");
    ASSERT_TRUE(hosts.wait_until_served(0, "/notes", {}));
    send_for(std::chrono::milliseconds(500));
    received = 0;
    const int refused = send_for(std::chrono::seconds(1));
    EXPECT_EQ(received, 0);
    EXPECT_GT(refused, 0);
    {
        SCOPED_TRACE("a new process is used");
        set_fields("");
        upstream = nullptr;
        start_upstream();
        EXPECT_TRUE(hosts.wait_until_served(0, "/notes", {}));
    }
}

// Values other than 1 must not take an upstream out.
TEST_F(upstream_notices, other_values_of_leaving_are_ignored)
{
    start();
    for (const char* value : {"0", "", "yes", "1x", "-1"})
    {
        SCOPED_TRACE(value);
        set_fields(std::string("Cyclamen-Leaving: ") + value + "\r\n");
        ASSERT_TRUE(hosts.wait_until_served(0, "/notes", {}));
        send_for(std::chrono::milliseconds(200));
        EXPECT_TRUE(hosts.wait_until_served(1, "/notes", {}));
    }
}

} // namespace
} // namespace cyclamenhold
