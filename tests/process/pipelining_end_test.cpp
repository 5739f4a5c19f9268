// How a connection with several requests ends: by a closing answer, by a
// planned stop, or because the caller leaves.
#include "process/pipelining_fixture.hpp"

namespace cyclamenhold
{
namespace
{

using namespace process_tests;

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
