#include "adapters/clock.hpp"
#include "caller.hpp"
#include "command_line.hpp"
#include "control_port.hpp"
#include "fleet.hpp"
#include "latency_comparison.hpp"
#include "standin_control.hpp"
#include "upstream_server.hpp"

#include "adapters/json_server.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace cyclamenhold
{
namespace
{

const auto any_port =
    boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0);

// A stand-in upstream on a separate thread.
struct running_upstream
{
    running_upstream()
    {
        upstream_settings settings;
        settings.service = "stock";
        settings.listen = any_port;
        settings.control = any_port;
        settings.service_time = 1ms;
        upstream = std::make_shared<upstream_state>(context, settings);
        listening = *start_upstream_server(upstream);
        control = *start_control_port(upstream);
        thread = std::thread(
            [this]
            {
                context.run();
            });
    }
    ~running_upstream()
    {
        context.stop();
        thread.join();
    }
    running_upstream(const running_upstream&) = delete;
    running_upstream& operator=(const running_upstream&) = delete;

    boost::asio::io_context context{1};
    std::shared_ptr<upstream_state> upstream;
    boost::asio::ip::tcp::endpoint listening;
    boost::asio::ip::tcp::endpoint control;
    std::thread thread;
};

scenario short_scenario()
{
    findings found;
    auto plan = parse_scenario(
        R"({"name": "short", "duration_s": 1, "warm_up_s": 0,
            "deepest_service": "stock",
            "retries": {"attempts": 1, "delay_s": 0.01},
            "workspaces": [{"name": "w", "offered": 200}],
            "routes": [
              {"name": "small", "path": "/stock", "body_bytes": 100},
              {"name": "large", "path": "/stock", "reply_bytes": 100000},
              {"name": "once", "path": "/stock", "never_repeat": true}],
            "triggers": [{"from_s": 0.3, "until_s": 0.6, "service": "stock",
              "on": {"shed_share": 1}, "off": {"shed_share": 0}}]})",
        "", found);
    EXPECT_TRUE(found.empty()) << to_string(found);
    return plan;
}

// Guards against sending load or faults to another machine because of a wrong
// address in the file.
TEST(load_fleet, accepts_only_loopback_addresses)
{
    findings found;
    (void)parse_fleet(
        R"({"groups": [{"targets": ["192.0.2.1:80", "127.0.0.1:x"]}],
            "upstreams": [{"service": "s", "control": "10.0.0.1:1"}],
            "platform": "0.0.0.0:1", "keys": {"w": 5}})",
        found);
    const std::string text = to_string(found);
    for (const char* place :
         {"/groups/0/targets/0: ", "/groups/0/targets/1: ",
          "/upstreams/0/control: ", "/platform: ", "/keys/w: "})
    {
        EXPECT_NE(text.find(place), std::string::npos) << place << text;
    }
}

// Sends a scenario to a real upstream that sheds all requests for 0.3 s. Guards
// against lost records, retries of calls that must not run twice, and counters
// that differ from the calls sent.
TEST(load, sends_calls_and_switches_faults)
{
    running_upstream upstream;
    const auto plan = short_scenario();
    fleet processes;
    processes.groups.push_back({"", {upstream.listening}});
    processes.upstreams.push_back({"stock", "a", upstream.control});
    const auto arrivals = make_arrivals(plan);
    const time_point start = now() + 50ms;
    std::thread triggers(
        [&]
        {
            run_triggers(plan, processes, start);
        });
    const auto records = send_calls(plan, processes, arrivals, start);
    triggers.join();
    ASSERT_EQ(records.size(), arrivals.size());
    std::size_t succeeded = 0;
    std::size_t attempts = 0;
    for (const sent_call& record : records)
    {
        succeeded += record.succeeded;
        attempts += record.attempts;
        EXPECT_TRUE(record.succeeded || record.status == 503) << record.status;
        // The upstream does not state that a call has not run, so a
        // never_repeat call is not retried.
        const bool once = plan.routes[record.route].never_repeat;
        EXPECT_TRUE(!once || record.attempts == 1);
    }
    EXPECT_LT(succeeded, records.size());
    EXPECT_GT(succeeded, records.size() / 2);
    const auto counts = read_service_counts(processes);
    ASSERT_EQ(counts.size(), 1U);
    EXPECT_EQ(counts[0].received, attempts);
    EXPECT_EQ(counts[0].finished, succeeded);
}

TEST(load, compares_direct_and_node_latency)
{
    running_upstream upstream;
    comparison_settings settings;
    settings.direct = upstream.listening;
    settings.through = upstream.listening;
    settings.rate = 200.0;
    settings.duration_s = 0.5;
    settings.warm_up_s = 0.1;
    const auto figures = compare_latency(settings);
    EXPECT_GT(figures.direct.calls, 10U);
    EXPECT_GT(figures.through.calls, 10U);
    EXPECT_EQ(figures.direct.failed + figures.through.failed, 0U);
    EXPECT_GE(figures.direct.p99_ms, figures.direct.p50_ms);
    EXPECT_GE(figures.direct.p50_ms, 0.1);
}

TEST(load_command_line, reports_all_bad_arguments)
{
    std::vector<std::string> words{
        "cyclamen-load",
        "--compare-direct",
        "192.0.2.1:1",
        "--compare-through",
        "odd",
        "--rate",
        "0"};
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words)
    {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const auto command =
        parse_load_command(static_cast<int>(words.size()), arguments.data());
    EXPECT_EQ(command.found.size(), 3U) << to_string(command.found);
}

} // namespace
} // namespace cyclamenhold
