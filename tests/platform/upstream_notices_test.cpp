#include "platform/upstream_notices.hpp"

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

upstream_notice beat(
    const std::string& id, const std::string& state, int sequence,
    std::uint64_t born = 1'000)
{
    return read_notice(
        "POST", "/instances/" + id + "/heartbeat",
        heartbeat(state, sequence, born));
}

TEST(upstream_notices, are_read)
{
    {
        SCOPED_TRACE("a heartbeat");
        const auto notice = beat("i-1", "ready", 4);
        const auto* const said = std::get_if<upstream_announcement>(&notice);
        ASSERT_NE(said, nullptr);
        EXPECT_EQ(said->id, "i-1");
        EXPECT_EQ(said->record.service, "shop");
        EXPECT_EQ(said->record.slots, 175U);
        EXPECT_EQ(said->record.state, upstream_state::serving);
        EXPECT_EQ(said->sequence, 4U);
        EXPECT_EQ(said->started_ms, 1'000U);
        EXPECT_EQ(said->endpoint.port, 8080);
    }
    {
        SCOPED_TRACE("a departure, with or without a body");
        const auto notice =
            read_notice("POST", "/instances/i-1/deregister", "");
        const auto* const left = std::get_if<upstream_departure>(&notice);
        ASSERT_NE(left, nullptr);
        EXPECT_EQ(left->id, "i-1");
    }
    {
        SCOPED_TRACE("other requests are none");
        EXPECT_TRUE(std::holds_alternative<std::monostate>(
            read_notice("GET", "/instances/i-1/heartbeat", "")));
        EXPECT_TRUE(std::holds_alternative<std::monostate>(
            read_notice("POST", "/instances//heartbeat", "")));
        EXPECT_TRUE(std::holds_alternative<std::monostate>(
            read_notice("POST", "/other", "")));
    }
}

TEST(upstream_notices, what_cannot_be_read_names_no_upstream)
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
            read_notice("POST", "/instances/i-1/heartbeat", body)))
            << body;
    }
}

// What the monitor makes of a heartbeat.
std::optional<upstream_record>
hear(upstream_monitor& monitor, const upstream_notice& notice)
{
    return on_announcement(
        monitor, std::get<upstream_announcement>(notice), time_point{100s});
}

TEST(upstream_life, from_start_to_address_reuse)
{
    upstream_monitor monitor;
    ASSERT_TRUE(hear(monitor, beat("i-1", "ready", 1)));
    const std::uint64_t life = monitor.life;
    {
        SCOPED_TRACE("a repeated heartbeat changes nothing");
        EXPECT_FALSE(hear(monitor, beat("i-1", "ready", 2)));
    }
    {
        SCOPED_TRACE("it drains, and an older heartbeat does not undo that");
        const auto drained = hear(monitor, beat("i-1", "draining", 4));
        ASSERT_TRUE(drained);
        EXPECT_EQ(drained->state, upstream_state::draining);
        EXPECT_FALSE(hear(monitor, beat("i-1", "ready", 3)));
        EXPECT_EQ(monitor.record.state, upstream_state::draining);
    }
    {
        SCOPED_TRACE("it leaves; a late heartbeat does not bring it back");
        ASSERT_TRUE(on_leave(monitor, {"i-1", 1'000}));
        EXPECT_FALSE(hear(monitor, beat("i-1", "ready", 5)));
        EXPECT_EQ(monitor.record.state, upstream_state::absent);
    }
    {
        SCOPED_TRACE("another process takes the address");
        ASSERT_TRUE(hear(monitor, beat("i-2", "ready", 1, 2'000)));
        EXPECT_EQ(monitor.record.state, upstream_state::serving);
        EXPECT_GT(monitor.life, life);
    }
    {
        SCOPED_TRACE("the first one's last words are not about it");
        EXPECT_FALSE(on_leave(monitor, {"i-1", 1'000}));
        EXPECT_FALSE(hear(monitor, beat("i-1", "draining", 9)));
        EXPECT_EQ(monitor.record.state, upstream_state::serving);
    }
    {
        SCOPED_TRACE("it starts again under its own id and counts anew");
        ASSERT_TRUE(hear(monitor, beat("i-2", "ready", 1, 3'000)));
        EXPECT_EQ(monitor.started_ms, 3'000U);
    }
}

} // namespace
} // namespace cyclamenhold::platform
