// Callers that send further requests on a connection before the first is
// answered.
#include "process/pipelining_fixture.hpp"

namespace cyclamenhold
{
namespace
{

using namespace process_tests;

// Four requests of 0.4 s took 1.6 s.
TEST_F(
    pipelining, repeatable_requests_run_side_by_side_and_are_answered_in_order)
{
    auto caller = connect();
    const auto start = clock::now();
    caller.send(
        get("safe", 400, "a") + get("safe", 100, "b") + get("safe", 300, "c") +
        get("safe", 10, "d"));
    for (const std::string name : {"a", "b", "c", "d"})
    {
        EXPECT_EQ(caller.read(), std::pair(200U, name));
    }
    EXPECT_LT(clock::now() - start, 800ms);
    {
        SCOPED_TRACE("more than the bound wait in the connection");
        std::string many;
        for (int i = 0; i < 30; ++i)
        {
            many += get("safe", 50, "n" + std::to_string(i));
        }
        caller.send(many);
        for (int i = 0; i < 30; ++i)
        {
            EXPECT_EQ(caller.read(), std::pair(200U, "n" + std::to_string(i)));
        }
        EXPECT_LE(most_running, 8);
        EXPECT_GE(most_running, 4);
    }
}

// One that must not be repeated runs only when nothing before it can close the
// connection any more.
TEST_F(pipelining, a_request_that_runs_once_waits_for_those_before_it)
{
    auto caller = connect();
    caller.send(
        get("safe", 300, "first") + get("once", 0, "second") +
        get("safe", 0, "third"));
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("first")));
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("second")));
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("third")));
    const std::scoped_lock lock(mutex);
    EXPECT_GE(started["second"] - started["first"], 290ms);
    EXPECT_GE(started["third"], started["second"]);
}

TEST_F(pipelining, what_is_behind_a_closing_answer_does_not_run)
{
    auto caller = connect();
    caller.send(get("safe", 100, "broken") + get("once", 0, "behind"));
    EXPECT_EQ(caller.read().first, 0U);
    std::this_thread::sleep_for(300ms);
    EXPECT_FALSE(has_started("behind"));
    {
        SCOPED_TRACE("a request that asks for the end of the connection");
        auto other = connect();
        other.send(
            "GET /safe/10/last HTTP/1.1\r\nHost: test\r\nConnection: "
            "close\r\n\r\n" +
            get("safe", 0, "later"));
        EXPECT_EQ(other.read(), std::pair(200U, std::string("last")));
        EXPECT_EQ(other.read().first, 0U);
        EXPECT_FALSE(has_started("later"));
    }
}

TEST_F(pipelining, a_caller_that_leaves_ends_all_of_its_requests)
{
    auto caller = connect();
    caller.send(get("safe", 200, "x") + get("safe", 200, "y"));
    EXPECT_TRUE(wait_until(
        [this]
        {
            return has_started("x") && has_started("y");
        }));
    caller.close();
    {
        SCOPED_TRACE("others are not affected");
        auto other = connect();
        other.send(get("safe", 10, "z"));
        EXPECT_EQ(other.read(), std::pair(200U, std::string("z")));
    }
}

// Requests that already run when a planned stop begins are answered, each of
// them.
TEST_F(pipelining, a_planned_stop_in_the_middle)
{
    auto caller = connect();
    caller.send(
        get("safe", 600, "p") + get("safe", 500, "q") + get("safe", 700, "r"));
    EXPECT_TRUE(wait_until(
        [this]
        {
            return has_started("r");
        }));
    hosts.nodes[0]->signal(SIGTERM);
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("p")));
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("q")));
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("r")));
    EXPECT_EQ(caller.read().first, 0U);
}

// A malformed request behind a proper one is answered after it.
TEST_F(pipelining, a_malformed_request_behind_others)
{
    auto caller = connect();
    caller.send(get("safe", 200, "good") + "NONSENSE\r\n\r\n");
    EXPECT_EQ(caller.read(), std::pair(200U, std::string("good")));
    EXPECT_EQ(caller.read().first, 400U);
    EXPECT_EQ(caller.read().first, 0U);
}

} // namespace
} // namespace cyclamenhold
