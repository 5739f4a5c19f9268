// What a node has acknowledged of its upstream's departure, after a restart.
#include "adapters/node_runtime.hpp"
#include "platform/protocol_profile.hpp"
#include "process/fleet_processes.hpp"
#include "support/running_platform.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>

namespace cyclamenhold
{
namespace
{

namespace http = process_tests::http;
using process_tests::send_once;
using process_tests::wait_until;

// Announcements of the upstream process i-leaver, which started at 1000.
constexpr const char* heartbeat_target = "/instances/i-leaver/heartbeat";
constexpr const char* departure_target = "/instances/i-leaver/deregister";
constexpr const char* departure_body = R"({"born":1000})";

std::string heartbeat(int sequence)
{
    return R"({"address":"127.0.0.1:8080","born":1000,"info":{"service":)"
           R"("items","version":"v1","zone":"z","slots":8},"status":)"
           R"({"state":"ready","coldRemainingS":0,"seq":)" +
           std::to_string(sequence) + "}}";
}

// A node, and the next one at the same address.
class departed_upstream : public testing::Test
{
protected:
    departed_upstream()
    {
        settings.name = "brno-1";
        settings.data_centre = "brno";
        settings.region = "moravia";
        settings.listen = {any_port, any_port, any_port, any_port};
        settings.platform = platform.endpoint();
        start();
        settings.listen.peers = ports_of(*node).peers;
    }

    ~departed_upstream() override
    {
        stop();
    }

    void start()
    {
        auto started = start_node(
            settings, {"0123456789abcdef", credential},
            profile_of(interface_kind::platform), {});
        ASSERT_TRUE(started.ok()) << started.status();
        node = *std::move(started);
    }

    // Without waiting for anything, like a kill.
    void stop()
    {
        const std::atomic<bool> abort_requests{true};
        static_cast<void>(stop_node(*node, abort_requests));
        // Releases the ports.
        node.reset();
    }

    void tell(const char* target, const std::string& body)
    {
        const auto answer = send_once(
            to_string(ports_of(*node).upstream),
            {http::verb::post, target, {}, body, {}});
        EXPECT_EQ(answer.status, 200U) << answer.body;
    }

    // Whether the node now announces its upstream as one that takes requests.
    // An announcement that was answered has been applied.
    [[nodiscard]] bool is_announced() const
    {
        const auto page = send_once(
            to_string(ports_of(*node).operators),
            {http::verb::get, "/v1/events", credential, {}, {}});
        EXPECT_EQ(page.status, 200U) << page.body;
        const auto position = [&](const char* kind)
        {
            const auto found = page.body.rfind(kind);
            return found == std::string::npos ? 0 : found;
        };
        return position("upstream-announced") >
               std::max(
                   position("upstream-draining"), position("upstream-lost"));
    }

    // Within the time that a node has after its start to read the record.
    [[nodiscard]] bool is_ignored_soon() const
    {
        return wait_until(
            [&]
            {
                return !is_announced();
            },
            3s);
    }

    static constexpr const char* credential = "operators-only-123";
    running_platform platform;
    node_settings settings;
    std::shared_ptr<node_runtime> node;
};

// A node that had acknowledged the departure and was started again took a late
// heartbeat for a new one, and the upstream that had left got requests (DRAIN).
TEST_F(departed_upstream, a_late_announcement_reaches_the_next_process)
{
    tell(heartbeat_target, heartbeat(1));
    EXPECT_TRUE(is_announced());
    tell(departure_target, departure_body);
    EXPECT_FALSE(is_announced());
    ASSERT_TRUE(wait_until(
        [&]
        {
            return platform.has_entry("departed/");
        }))
        << "the departure is not in the store";
    stop();
    start();
    tell(heartbeat_target, heartbeat(2));
    EXPECT_TRUE(is_ignored_soon());
}

// The departure of an upstream from which the node had no heartbeat yet was
// acknowledged and not recorded (DRAIN).
TEST_F(departed_upstream, an_unknown_upstream_leaves)
{
    tell(departure_target, departure_body);
    tell(heartbeat_target, heartbeat(2));
    EXPECT_FALSE(is_announced());
    {
        SCOPED_TRACE("a process that starts later is another one");
        std::string next = heartbeat(1);
        next.replace(next.find("1000"), 4, "2000");
        tell(heartbeat_target, next);
        EXPECT_TRUE(is_announced());
    }
}

} // namespace
} // namespace cyclamenhold
