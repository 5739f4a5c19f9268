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

TEST(upstream_messages, parsing)
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
        const auto* const departure = std::get_if<upstream_departure>(&message);
        ASSERT_NE(departure, nullptr);
        EXPECT_EQ(departure->id, "i-1");
    }
    {
        SCOPED_TRACE("any other request is no message");
        EXPECT_TRUE(std::holds_alternative<std::monostate>(
            parse_upstream_message("GET", "/instances/i-1/heartbeat", "")));
        EXPECT_TRUE(std::holds_alternative<std::monostate>(
            parse_upstream_message("POST", "/instances//heartbeat", "")));
        EXPECT_TRUE(std::holds_alternative<std::monostate>(
            parse_upstream_message("POST", "/other", "")));
    }
}

TEST(upstream_messages, malformed_heartbeat_has_findings)
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

// A heartbeat with these texts in place of the values of a valid one.
std::string odd_heartbeat(
    const std::string& address, const std::string& born,
    const std::string& slots = "175", const std::string& sequence = "4")
{
    return R"({"address":)" + address + R"(,"born":)" + born +
           R"(,"info":{"service":"shop","slots":)" + slots +
           R"(},"status":{"state":"ready","seq":)" + sequence + "}}";
}

// Guards against an odd heartbeat of another writer that replaces the address
// of the host's upstream, or ends the process that reads it.
TEST(upstream_messages, odd_heartbeats_name_no_upstream)
{
    const std::string address = R"("10.1.0.9:8080")";
    const std::string deep =
        std::string(10'000, '[') + std::string(10'000, ']');
    const std::string beyond_64_bits = "99999999999999999999";
    ASSERT_TRUE(
        std::holds_alternative<upstream_announcement>(parse_upstream_message(
            "POST", "/instances/i-1/heartbeat", odd_heartbeat(address, "1"))));
    for (const std::string& body :
         {odd_heartbeat(R"("10.1.0.9:0")", "1"),
          odd_heartbeat(R"("10.1.0.9:65536")", "1"),
          odd_heartbeat(R"("10.1.0.9:-1")", "1"),
          odd_heartbeat(R"("10.1.0.9:99999999999999999999")", "1"),
          odd_heartbeat(R"("\ud800")", "1"), odd_heartbeat("1e999", "1"),
          odd_heartbeat(address, beyond_64_bits), odd_heartbeat(address, "-1"),
          odd_heartbeat(address, "1e999"), odd_heartbeat(address, R"("1")"),
          odd_heartbeat(address, "null"), odd_heartbeat(address, deep),
          odd_heartbeat(address, "1", beyond_64_bits),
          odd_heartbeat(address, "1", "4294967297"),
          odd_heartbeat(address, "1", "175", beyond_64_bits),
          odd_heartbeat(address, "1", "175", deep), deep})
    {
        EXPECT_TRUE(std::holds_alternative<findings>(
            parse_upstream_message("POST", "/instances/i-1/heartbeat", body)))
            << body.substr(0, 200);
    }
    for (const std::string& body :
         {std::string("\xff\xfe"), deep, std::string("7"),
          std::string(R"({"born":1e999})"), std::string(R"({"born":"1"})")})
    {
        SCOPED_TRACE("a departure that cannot be read");
        EXPECT_TRUE(std::holds_alternative<findings>(
            parse_upstream_message("POST", "/instances/i-1/deregister", body)))
            << body.substr(0, 200);
    }
}

// Passes a heartbeat to the monitor. Returns the upstream's record if it
// changed.
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
    const std::uint64_t first_incarnation = monitor.incarnation;
    {
        SCOPED_TRACE("a repeated heartbeat changes nothing");
        EXPECT_FALSE(deliver(monitor, heartbeat_message("i-1", "ready", 2)));
    }
    {
        SCOPED_TRACE("an older heartbeat does not undo the draining state");
        const auto drained =
            deliver(monitor, heartbeat_message("i-1", "draining", 4));
        ASSERT_TRUE(drained);
        EXPECT_EQ(drained->state, upstream_state::draining);
        EXPECT_FALSE(deliver(monitor, heartbeat_message("i-1", "ready", 3)));
        EXPECT_EQ(monitor.record.state, upstream_state::draining);
    }
    {
        SCOPED_TRACE("a late heartbeat does not undo a departure");
        ASSERT_TRUE(on_leave(monitor, {"i-1", 1'000}));
        EXPECT_FALSE(deliver(monitor, heartbeat_message("i-1", "ready", 5)));
        EXPECT_EQ(monitor.record.state, upstream_state::absent);
    }
    {
        SCOPED_TRACE("another process reuses the address");
        ASSERT_TRUE(
            deliver(monitor, heartbeat_message("i-2", "ready", 1, 2'000)));
        EXPECT_EQ(monitor.record.state, upstream_state::serving);
        EXPECT_GT(monitor.incarnation, first_incarnation);
    }
    {
        SCOPED_TRACE(
            "late messages of the first process do not affect the second");
        EXPECT_FALSE(on_leave(monitor, {"i-1", 1'000}));
        EXPECT_FALSE(deliver(monitor, heartbeat_message("i-1", "draining", 9)));
        EXPECT_EQ(monitor.record.state, upstream_state::serving);
    }
    {
        SCOPED_TRACE("a restart under the same id resets the sequence");
        ASSERT_TRUE(
            deliver(monitor, heartbeat_message("i-2", "ready", 1, 3'000)));
        EXPECT_EQ(monitor.started_ms, 3'000U);
    }
}

} // namespace
} // namespace cyclamenhold::platform
