// What a node knows of a cold worker: from its heartbeats, its replies, the
// operators' document, and when it must assume it.
#include "adapters/upstream_monitor.hpp"
#include "core/gate/cold_bound.hpp"
#include "platform/operator_document.hpp"
#include "platform/upstream_messages.hpp"

#include <gtest/gtest.h>

#include <string>

namespace cyclamenhold::platform
{
namespace
{

constexpr time_point start{100s};

std::optional<upstream_record>
beat(upstream_monitor& monitor, int sequence, double cold_s, time_point now)
{
    const std::string text =
        R"({"address":"10.1.0.9:8080","born":1000,"info":{"service":"shop",)"
        R"("version":"v1","zone":"z","slots":175},"status":{"state":"ready",)"
        R"("seq":)" +
        std::to_string(sequence) + R"(,"coldRemainingS":)" +
        std::to_string(cold_s) + "}}";
    const auto message =
        parse_upstream_message("POST", "/instances/i-1/heartbeat", text);
    auto announcement = std::get<upstream_announcement>(message);
    announcement.record.cold_rate = 13.0;
    return on_announcement(monitor, announcement, now);
}

TEST(cold_upstream, heartbeats)
{
    upstream_monitor monitor;
    {
        SCOPED_TRACE("the first one says that it is cold");
        const auto record = beat(monitor, 1, 3.0, start);
        ASSERT_TRUE(record);
        EXPECT_EQ(record->state, upstream_state::warming);
        EXPECT_EQ(record->cold_rate, 13.0);
    }
    {
        SCOPED_TRACE("it is warm when its time is over, without another one");
        EXPECT_FALSE(check_upstream(monitor, start + 2900ms));
        const auto record = check_upstream(monitor, start + 3s);
        ASSERT_TRUE(record);
        EXPECT_EQ(record->state, upstream_state::serving);
    }
    {
        SCOPED_TRACE("the same process becomes cold again");
        const auto record = beat(monitor, 2, 2.0, start + 5s);
        ASSERT_TRUE(record);
        EXPECT_EQ(record->state, upstream_state::warming);
        EXPECT_FALSE(check_upstream(monitor, start + 6900ms));
        EXPECT_TRUE(check_upstream(monitor, start + 7s));
    }
    {
        SCOPED_TRACE("a draining one does not become cold");
        ASSERT_TRUE(on_drain(monitor));
        EXPECT_FALSE(on_cold(monitor, 2s, start + 8s));
        EXPECT_FALSE(suspect_cold(monitor, start + 8s));
        EXPECT_EQ(monitor.record.state, upstream_state::draining);
    }
}

TEST(cold_upstream, a_reply_says_that_it_is_cold)
{
    upstream_monitor monitor;
    ASSERT_TRUE(beat(monitor, 1, 0.0, start));
    const auto record = on_cold(monitor, 1500ms, start + 1s);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->state, upstream_state::warming);
    EXPECT_FALSE(on_cold(monitor, 1000ms, start + 1500ms));
    EXPECT_TRUE(check_upstream(monitor, start + 2500ms));
}

// A heartbeat that was sent before the upstream became cold ended the bound
// that its reply had begun.
TEST(cold_upstream, a_heartbeat_on_its_way_does_not_end_what_a_reply_says)
{
    upstream_monitor monitor;
    ASSERT_TRUE(beat(monitor, 1, 0.0, start));
    ASSERT_TRUE(on_cold(monitor, 3s, start + 1s));
    EXPECT_FALSE(beat(monitor, 2, 0.0, start + 1100ms));
    EXPECT_EQ(monitor.record.state, upstream_state::warming);
    EXPECT_TRUE(beat(monitor, 3, 0.0, start + 2s));
    EXPECT_EQ(monitor.record.state, upstream_state::serving);
}

// Upstreams without an id name their whole warm-up time, or do so only in their
// first announcement; later ones must neither prolong nor end it.
TEST(cold_upstream, announcements_without_an_id_warm_up_once)
{
    upstream_monitor monitor;
    upstream_announcement announcement;
    announcement.record = {"shop", upstream_state::serving, 175, 175, 0, 0.0};
    announcement.warm_up = 10s;
    ASSERT_TRUE(on_announcement(monitor, announcement, start));
    for (const auto warm_up : {0s, 10s})
    {
        SCOPED_TRACE("a later one");
        announcement.warm_up = warm_up;
        EXPECT_FALSE(on_announcement(monitor, announcement, start + 6s));
        EXPECT_EQ(monitor.record.state, upstream_state::warming);
    }
    ASSERT_TRUE(check_upstream(monitor, start + 10s));
    EXPECT_FALSE(on_announcement(monitor, announcement, start + 12s));
    EXPECT_EQ(monitor.record.state, upstream_state::serving);
    {
        SCOPED_TRACE("what a reply says");
        ASSERT_TRUE(on_cold(monitor, 3s, start + 20s));
        announcement.warm_up = 0s;
        EXPECT_FALSE(on_announcement(monitor, announcement, start + 22s));
        EXPECT_TRUE(check_upstream(monitor, start + 23s));
    }
    {
        SCOPED_TRACE("one that was assumed to be cold is not so for ever");
        ASSERT_TRUE(suspect_cold(monitor, start + 24s));
        announcement.warm_up = 0s;
        EXPECT_TRUE(on_announcement(monitor, announcement, start + 25s));
        EXPECT_EQ(monitor.record.state, upstream_state::serving);
    }
}

// An unreadable time counted as none and ended the bound of a cold upstream.
TEST(cold_upstream, heartbeats_with_an_unreadable_time_name_no_upstream)
{
    const auto parse = [](const std::string& cold)
    {
        return parse_upstream_message(
            "POST", "/instances/i-1/heartbeat",
            R"({"address":"10.1.0.9:8080","born":1000,"info":{"service":)"
            R"("shop","slots":175},"status":{"state":"ready","seq":1,)"
            R"("coldRemainingS":)" +
                cold + "}}");
    };
    EXPECT_TRUE(std::holds_alternative<upstream_announcement>(parse("0.5")));
    for (const char* odd : {"\"1\"", "-1", "null", "[2]", "1e300"})
    {
        EXPECT_TRUE(std::holds_alternative<findings>(parse(odd))) << odd;
    }
}

// After a time without requests an upstream may be cold although its last
// heartbeat said that it is not (FAILBACK).
TEST(cold_upstream, it_is_assumed_cold_until_a_later_heartbeat)
{
    upstream_monitor monitor;
    ASSERT_TRUE(beat(monitor, 1, 0.0, start));
    const auto suspected = suspect_cold(monitor, start + 1s);
    ASSERT_TRUE(suspected);
    EXPECT_EQ(suspected->state, upstream_state::warming);
    {
        SCOPED_TRACE("one that may have been sent before does not count");
        EXPECT_FALSE(beat(monitor, 2, 0.0, start + 1100ms));
        EXPECT_EQ(monitor.record.state, upstream_state::warming);
    }
    {
        SCOPED_TRACE("the next one does");
        const auto record = beat(monitor, 3, 0.0, start + 2600ms);
        ASSERT_TRUE(record);
        EXPECT_EQ(record->state, upstream_state::serving);
    }
    {
        SCOPED_TRACE("one that says that it is cold counts at once");
        ASSERT_TRUE(suspect_cold(monitor, start + 3s));
        EXPECT_FALSE(beat(monitor, 4, 2.0, start + 3100ms));
        EXPECT_FALSE(check_upstream(monitor, start + 5s));
        EXPECT_TRUE(check_upstream(monitor, start + 5100ms));
    }
}

TEST(cold_upstream, the_configuration_names_the_rate)
{
    const auto document = [](const std::string& rate)
    {
        const auto read = read_document(
            R"({"version":"0000001f","resources":[{"type":"services",)"
            R"("metadata":{"name":"shop"},"spec":{"healthPath":"/healthz",)"
            R"("maxConnections":1180,"coldStartS":3.0)" +
                rate + "}}]}",
            "secret");
        EXPECT_TRUE(read.ok());
        return read.value_or(configuration{});
    };
    {
        SCOPED_TRACE("a rate, and none");
        EXPECT_EQ(document(R"(,"coldPerS":13.0)").services[0].cold_rate, 13.0);
        EXPECT_EQ(document("").services[0].cold_rate, 0.0);
    }
    for (const std::string odd :
         {R"("13")", "-1", "null", "[13]", R"("x")", "1e999"})
    {
        SCOPED_TRACE("one that is no number: " + odd);
        const auto read = document(R"(,"coldPerS":)" + odd);
        if (read.services.empty())
        {
            continue;
        }
        EXPECT_EQ(read.services[0].cold_rate, unknown_cold_rate);
        EXPECT_EQ(read.unreadable.size(), 1U);
    }
    {
        SCOPED_TRACE("a changed rate applies to an announced upstream");
        upstream_monitor monitor;
        EXPECT_FALSE(on_cold_rate(monitor, 20.0));
        ASSERT_TRUE(beat(monitor, 1, 3.0, start));
        const auto record = on_cold_rate(monitor, 20.0);
        ASSERT_TRUE(record);
        EXPECT_EQ(record->cold_rate, 20.0);
        EXPECT_FALSE(on_cold_rate(monitor, 20.0));
    }
}

} // namespace
} // namespace cyclamenhold::platform
