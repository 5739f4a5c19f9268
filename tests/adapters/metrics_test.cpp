#include "adapters/metrics.hpp"

#include <thread>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

using testing::HasSubstr;
using testing::Not;

TEST(metrics, counters_and_gauges)
{
    metrics counted;
    count_request(counted, refusal::none, outcome::ran);
    count_request(counted, refusal::overloaded, outcome::not_run);
    count_request(counted, refusal::overloaded, outcome::not_run);
    count_refused_class(counted, priority_class::low);
    count_platform_call(
        counted, platform_operation::watch, platform_status::unavailable);
    add(counted, counter_id::retries, 3);
    set(counted, gauge_id::gate_limit, 40);
    change(counted, gauge_id::gate_limit, -2);
    const std::string text = to_prometheus_text(counted);
    {
        SCOPED_TRACE("labelled counters");
        EXPECT_THAT(
            text, HasSubstr("cyclamen_requests_total{refusal=\"overloaded\","
                            "outcome=\"not-run\"} 2\n"));
        EXPECT_THAT(
            text, HasSubstr("cyclamen_requests_total{refusal=\"none\","
                            "outcome=\"ran\"} 1\n"));
        EXPECT_THAT(
            text, HasSubstr("cyclamen_refused_total{class=\"low\"} 1\n"));
        EXPECT_THAT(
            text, HasSubstr("cyclamen_platform_calls_total{operation=\"watch\""
                            ",status=\"unavailable\"} 1\n"));
    }
    {
        SCOPED_TRACE("unlabelled counters and gauges");
        EXPECT_THAT(text, HasSubstr("\ncyclamen_retries_total 3\n"));
        EXPECT_THAT(text, HasSubstr("\ncyclamen_gate_limit 38\n"));
        EXPECT_THAT(text, HasSubstr("# TYPE cyclamen_gate_limit gauge\n"));
    }
    {
        SCOPED_TRACE(
            "every metric has a unique name, and each table matches its enum");
        for (std::size_t index = 0; index < counter_count; ++index)
        {
            const auto& [name, help] =
                description_of(static_cast<counter_id>(index));
            EXPECT_FALSE(help.empty());
            const std::string type = "# TYPE " + std::string(name) + ' ';
            EXPECT_EQ(text.find(type), text.rfind(type)) << name;
        }
        EXPECT_EQ(
            static_cast<std::size_t>(counter_id::control_microseconds) + 1,
            counter_count);
        EXPECT_EQ(
            static_cast<std::size_t>(gauge_id::upstream_cold_rate) + 1,
            gauge_count);
        EXPECT_EQ(
            static_cast<std::size_t>(histogram_id::platform_latency) + 1,
            histogram_count);
    }
}

TEST(metrics, latency_histograms)
{
    metrics counted;
    {
        SCOPED_TRACE("without observations");
        EXPECT_EQ(
            quantile(counted, histogram_id::added_latency, 0.5),
            duration::zero());
    }
    for (int count = 0; count < 99; ++count)
    {
        observe(counted, histogram_id::added_latency, 300us);
    }
    observe(counted, histogram_id::added_latency, 50ms);
    observe(counted, histogram_id::added_latency, -1ms);
    observe(counted, histogram_id::added_latency, 1000s);
    {
        SCOPED_TRACE("quantiles are rounded up by at most one bucket");
        const auto median = quantile(counted, histogram_id::added_latency, 0.5);
        EXPECT_GE(median, 300us);
        EXPECT_LE(median, 400us);
        EXPECT_GE(quantile(counted, histogram_id::added_latency, 0.99), 50ms);
    }
    {
        SCOPED_TRACE("buckets in the text are cumulative up to the count");
        const std::string text = to_prometheus_text(counted);
        EXPECT_THAT(
            text,
            HasSubstr("cyclamen_added_seconds_bucket{le=\"+Inf\"} 102\n"));
        EXPECT_THAT(text, HasSubstr("\ncyclamen_added_seconds_count 102\n"));
        EXPECT_THAT(text, HasSubstr("\ncyclamen_added_seconds_sum 1000.0797"));
        EXPECT_THAT(text, Not(HasSubstr("nan")));
    }
}

// Guards against histogram accumulators that are not atomic: concurrent updates
// would be lost.
TEST(metrics, concurrent_updates_are_not_lost)
{
    metrics counted;
    constexpr int thread_count = 4;
    constexpr int observation_count = 10'000;
    std::vector<std::jthread> threads;
    threads.reserve(thread_count);
    for (int index = 0; index < thread_count; ++index)
    {
        threads.emplace_back(
            [&counted]
            {
                for (int count = 0; count < observation_count; ++count)
                {
                    observe(counted, histogram_id::request_latency, 1ms);
                    add(counted, counter_id::attempts);
                }
            });
    }
    threads.clear();
    EXPECT_EQ(value_of(counted, counter_id::attempts), 40'000U);
    EXPECT_THAT(
        to_prometheus_text(counted),
        HasSubstr("\ncyclamen_request_seconds_count 40000\n"));
}

TEST(metrics, resident_bytes_is_set)
{
    metrics counted;
    update_resident_bytes(counted);
    EXPECT_THAT(
        to_prometheus_text(counted),
        Not(HasSubstr("\ncyclamen_resident_bytes 0\n")));
}

} // namespace
} // namespace cyclamenhold
