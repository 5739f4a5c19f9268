#include "platform/upstream_messages.hpp"

#include "adapters/upstream_monitor.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold::platform
{
namespace
{

std::string
heartbeat(const std::string& state, int sequence, std::uint64_t born = 1'000)
{
    return R"({"address":"10.1.0.9:8080","born":)" + std::to_string(born) +
           R"(,"info":{"service":"shop","version":"v1","zone":"z","slots":175},)"
           R"("status":{"state":")" +
           state + R"(","seq":)" + std::to_string(sequence) +
           R"(,"coldRemainingS":0}})";
}

upstream_message heartbeat_message(
    const std::string& id, const std::string& state, int sequence,
    std::uint64_t born = 1'000)
{
    return parse_upstream_message(
        "POST", "/instances/" + id + "/heartbeat",
        heartbeat(state, sequence, born));
}

TEST(upstream_messages, are_read)
{
    {
        SCOPED_TRACE("a heartbeat");
        const auto message = heartbeat_message("i-1", "ready", 4);
        const auto* const announcement =
            std::get_if<upstream_announcement>(&message);
        ASSERT_NE(announcement, nullptr);
        EXPECT_EQ(announcement->id, "i-1");
        EXPECT_EQ(announcement->record.service, "shop");
        EXPECT_EQ(announcement->record.slots, 175U);
        EXPECT_EQ(announcement->record.state, upstream_state::serving);
        EXPECT_EQ(announcement->sequence, 4U);
        EXPECT_EQ(announcement->started_ms, 1'000U);
        EXPECT_EQ(announcement->endpoint.port, 8080);
    }
    {
        SCOPED_TRACE("a departure, with or without a body");
        const auto message =
            parse_upstream_message("POST", "/instances/i-1/deregister", "");
        const auto* const left = std::get_if<upstream_departure>(&message);
        ASSERT_NE(left, nullptr);
        EXPECT_EQ(left->id, "i-1");
    }
    {
        SCOPED_TRACE("other requests are none");
        EXPECT_TRUE(std::holds_alternative<std::monostate>(
            parse_upstream_message("GET", "/instances/i-1/heartbeat", "")));
        EXPECT_TRUE(std::holds_alternative<std::monostate>(
            parse_upstream_message("POST", "/instances//heartbeat", "")));
        EXPECT_TRUE(std::holds_alternative<std::monostate>(
            parse_upstream_message("POST", "/other", "")));
    }
}

TEST(upstream_messages, what_cannot_be_read_names_no_upstream)
{
    for (const char* body :
         {"", "[]", "{", R"({"address":5})",
          R"({"address":"10.1.0.9:8080","info":{"service":"","slots":1},)"
          R"("status":{"state":"ready","seq":1}})",
          R"({"address":"10.1.0.9:8080","info":{"service":"s","slots":0},)"
          R"("status":{"state":"ready","seq":1}})",
          R"({"address":"10.1.0.9:8080","info":{"service":"s","slots":1},)"
          R"("status":{"state":"odd","seq":1}})",
          R"({"address":"10.1.0.9:8080","info":{"service":"s","slots":1},)"
          R"("status":{"state":"ready","seq":"x"}})"})
    {
        EXPECT_TRUE(std::holds_alternative<findings>(
            parse_upstream_message("POST", "/instances/i-1/heartbeat", body)))
            << body;
    }
}

// What the monitor makes of a heartbeat.
std::optional<upstream_record>
deliver(upstream_monitor& monitor, const upstream_message& message)
{
    return on_announcement(
        monitor, std::get<upstream_announcement>(message), time_point{100s});
}

TEST(upstream_process, from_start_to_address_reuse)
{
    upstream_monitor monitor;
    ASSERT_TRUE(deliver(monitor, heartbeat_message("i-1", "ready", 1)));
    const std::uint64_t life = monitor.life;
    {
        SCOPED_TRACE("a repeated heartbeat changes nothing");
        EXPECT_FALSE(deliver(monitor, heartbeat_message("i-1", "ready", 2)));
    }
    {
        SCOPED_TRACE("it drains, and an older heartbeat does not undo that");
        const auto drained =
            deliver(monitor, heartbeat_message("i-1", "draining", 4));
        ASSERT_TRUE(drained);
        EXPECT_EQ(drained->state, upstream_state::draining);
        EXPECT_FALSE(deliver(monitor, heartbeat_message("i-1", "ready", 3)));
        EXPECT_EQ(monitor.record.state, upstream_state::draining);
    }
    {
        SCOPED_TRACE("it leaves; a late heartbeat does not bring it back");
        ASSERT_TRUE(on_leave(monitor, {"i-1", 1'000}));
        EXPECT_FALSE(deliver(monitor, heartbeat_message("i-1", "ready", 5)));
        EXPECT_EQ(monitor.record.state, upstream_state::absent);
    }
    {
        SCOPED_TRACE("another process takes the address");
        ASSERT_TRUE(
            deliver(monitor, heartbeat_message("i-2", "ready", 1, 2'000)));
        EXPECT_EQ(monitor.record.state, upstream_state::serving);
        EXPECT_GT(monitor.life, life);
    }
    {
        SCOPED_TRACE("the first one's last words are not about it");
        EXPECT_FALSE(on_leave(monitor, {"i-1", 1'000}));
        EXPECT_FALSE(deliver(monitor, heartbeat_message("i-1", "draining", 9)));
        EXPECT_EQ(monitor.record.state, upstream_state::serving);
    }
    {
        SCOPED_TRACE("it starts again under its own id and counts anew");
        ASSERT_TRUE(
            deliver(monitor, heartbeat_message("i-2", "ready", 1, 3'000)));
        EXPECT_EQ(monitor.started_ms, 3'000U);
    }
}

} // namespace
} // namespace cyclamenhold::platform
