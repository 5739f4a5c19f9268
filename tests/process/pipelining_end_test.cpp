// How a connection with several requests ends: by a closing answer, by a
// planned stop, or because the caller leaves.
#include "process/pipelining_fixture.hpp"

namespace cyclamenhold
{
namespace
{

using namespace process_tests;

// A request behind a long closing answer ran.
TEST_F(pipelining, what_is_behind_a_long_closing_answer_does_not_run)
{
    auto caller = connect();
    caller.send(get("safe", 600, "long"));
    EXPECT_TRUE(wait_until(
        [this]
        {
            return has_started("long");
        }));
    hosts.nodes[0]->signal(SIGTERM);
    std::this_thread::sleep_for(100ms);
    caller.send(get("once", 0, "behind"));
    EXPECT_EQ(caller.read().first, 200U);
    EXPECT_EQ(caller.read().first, 0U);
    EXPECT_FALSE(has_started("behind"));
}

// A long reply was broken off after it had begun, which ends the connection:
// requests behind it that had run got no answer (LOST).
TEST_F(pipelining, requests_behind_a_reply_that_is_broken_off)
{
    auto caller = connect();
    caller.send(
        get("safe", 200, "broken") + get("safe", 10, "second") +
        get("safe", 10, "third"));
    EXPECT_EQ(caller.read().first, 502U);
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("second")));
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("third")));
    {
        SCOPED_TRACE("a long reply that is not broken off");
        caller.send(get("safe", 100, "long") + get("safe", 10, "fourth"));
        EXPECT_EQ(caller.read(), std::pair(200U, std::string(200'000, 'x')));
        EXPECT_EQ(caller.read(), std::pair(200U, std::string("fourth")));
    }
    {
        SCOPED_TRACE("one that does not go on is answered at its deadline");
        const auto start = clock::now();
        caller.send(get("safe", 10, "hung") + get("safe", 10, "fifth"));
        EXPECT_EQ(caller.read().first, 504U);
        EXPECT_LT(clock::now() - start, 7s);
        EXPECT_EQ(caller.read(), std::pair(200U, std::string("fifth")));
    }
    {
        SCOPED_TRACE("one that has begun delays the next request");
        caller.send(get("safe", 0, "stalled"));
        EXPECT_TRUE(wait_until(
            [this]
            {
                return has_started("stalled");
            }));
        std::this_thread::sleep_for(200ms);
        caller.send(get("safe", 0, "late"));
        EXPECT_EQ(caller.read().first, 0U);
        EXPECT_FALSE(has_started("late"));
    }
}

// A request whose head arrived in part before a closing answer and in part
// after it was passed on and not answered (LOST).
TEST_F(pipelining, a_head_that_arrives_around_a_closing_answer)
{
    auto caller = connect();
    caller.send(get("safe", 400, "first"));
    EXPECT_TRUE(wait_until(
        [this]
        {
            return has_started("first");
        }));
    hosts.nodes[0]->signal(SIGTERM);
    std::this_thread::sleep_for(100ms);
    const std::string behind = get("safe", 100, "behind");
    caller.send(behind.substr(0, 20));
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("first")));
    caller.try_send(behind.substr(20));
    EXPECT_EQ(caller.read().first, 0U);
    EXPECT_FALSE(has_started("behind"));
}

// An interim answer was written behind a closing one.
TEST_F(pipelining, an_expectation_behind_a_closing_answer)
{
    auto caller = connect();
    caller.send(get("safe", 400, "first"));
    EXPECT_TRUE(wait_until(
        [this]
        {
            return has_started("first");
        }));
    hosts.nodes[0]->signal(SIGTERM);
    std::this_thread::sleep_for(100ms);
    caller.send("POST /once/0/behind HTTP/1.1\r\nHost: test\r\nExpect: "
                "100-continue\r\nContent-Length: 5\r\n\r\n");
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("first")));
    EXPECT_EQ(caller.read().first, 0U);
}

// A caller that always had a request open kept its connection, and the planned
// stop, until the stop's time limit. The load: a request of 200 ms every 50 ms.
TEST_F(pipelining, a_planned_stop_while_requests_keep_coming)
{
    auto caller = connect();
    std::atomic<bool> is_over = false;
    std::thread sender(
        [&]
        {
            while (!is_over)
            {
                caller.try_send(get("safe", 200, "more"));
                std::this_thread::sleep_for(50ms);
            }
        });
    EXPECT_EQ(caller.read().first, 200U);
    hosts.nodes[0]->signal(SIGTERM);
    const auto start = clock::now();
    unsigned status = 200;
    while (status != 0 && clock::now() - start < 5s)
    {
        status = caller.read().first;
        EXPECT_TRUE(status == 200 || status == 0) << status;
    }
    EXPECT_LT(clock::now() - start, 2s);
    is_over = true;
    sender.join();
}

// A caller that left was not noticed while more of its bytes were waiting.
TEST_F(pipelining, a_caller_that_leaves_with_requests_unread)
{
    auto caller = connect();
    std::string many;
    for (int i = 0; i < 8; ++i)
    {
        many += get("safe", 2'000, "n" + std::to_string(i));
    }
    caller.send(many);
    EXPECT_TRUE(wait_until(
        [this]
        {
            return has_started("n7");
        }));
    caller.send(get("safe", 0, "unread"));
    std::this_thread::sleep_for(100ms);
    caller.close();
    std::this_thread::sleep_for(500ms);
    EXPECT_TRUE(has_cancelled(8)) << cancelled;
    EXPECT_FALSE(has_started("unread"));
}

// A caller that left in the middle of a head was answered that the request was
// malformed, after those before it.
TEST_F(pipelining, a_caller_that_leaves_in_the_middle_of_a_head)
{
    auto caller = connect();
    caller.send(get("safe", 2'000, "first") + "GET /safe/0/half HT");
    EXPECT_TRUE(wait_until(
        [this]
        {
            return has_started("first");
        }));
    caller.close();
    std::this_thread::sleep_for(500ms);
    EXPECT_TRUE(has_cancelled(1));
}

// A caller that left before its expectation was answered was not noticed.
TEST_F(pipelining, a_caller_that_leaves_with_an_expectation)
{
    auto caller = connect();
    caller.send(
        get("safe", 2'000, "first") +
        "POST /once/0/behind HTTP/1.1\r\nHost: test\r\nExpect: "
        "100-continue\r\nContent-Length: 5\r\n\r\n");
    EXPECT_TRUE(wait_until(
        [this]
        {
            return has_started("first");
        }));
    std::this_thread::sleep_for(100ms);
    caller.close();
    std::this_thread::sleep_for(500ms);
    EXPECT_TRUE(has_cancelled(1));
}

} // namespace
} // namespace cyclamenhold
