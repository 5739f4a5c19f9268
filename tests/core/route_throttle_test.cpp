#include "core/request/route_throttle.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

struct throttled_run
{
    double admitted_share = 0.0;
    double success_share = 0.0;
};

// Sends 200 requests per second of one class for ten seconds to a call tree
// that serves `capacity` of them per second. Requests admitted beyond that
// fail.
throttled_run run_against(double capacity, priority_class priority)
{
    constexpr int per_second = 200;
    constexpr int seconds = 10;
    constexpr int counted_from = per_second * 4;
    route_throttle throttle;
    random_source random(7);
    time_point now{100s};
    double capacity_left = 0.0;
    int admitted = 0;
    int succeeded = 0;
    int counted = 0;
    for (int i = 0; i < per_second * seconds; ++i)
    {
        now += duration(1s) / per_second;
        capacity_left = std::min(5.0, capacity_left + capacity / per_second);
        const bool is_admitted =
            throttle_admits(throttle, "route", priority, false, now, random);
        const bool succeeds = is_admitted && capacity_left >= 1.0;
        capacity_left -= is_admitted ? std::min(capacity_left, 1.0) : 0.0;
        if (is_admitted)
        {
            throttle_record_end(throttle, "route", succeeds, now);
        }
        if (i >= counted_from)
        {
            ++counted;
            admitted += is_admitted ? 1 : 0;
            succeeded += succeeds ? 1 : 0;
        }
    }
    return {
        static_cast<double>(admitted) / counted,
        static_cast<double>(succeeded) / std::max(1, admitted)};
}

TEST(route_throttle, overload_of_a_deep_service)
{
    {
        SCOPED_TRACE("with capacity for all, all are admitted");
        EXPECT_GE(
            run_against(400.0, priority_class::low).admitted_share, 0.999);
    }
    {
        SCOPED_TRACE("with half the capacity, most admitted requests succeed");
        const auto low = run_against(100.0, priority_class::low);
        EXPECT_GE(low.success_share, 0.8);
        EXPECT_LE(low.admitted_share, 0.65);
    }
    {
        SCOPED_TRACE("a more important class backs off later");
        const auto low = run_against(100.0, priority_class::low);
        const auto high = run_against(100.0, priority_class::high);
        EXPECT_GT(high.admitted_share, low.admitted_share);
    }
}

TEST(route_throttle, recovery_is_detected)
{
    route_throttle throttle;
    random_source random(7);
    time_point now{100s};
    const auto send = [&](bool works)
    {
        now += 10ms;
        const bool is_admitted = throttle_admits(
            throttle, "route", priority_class::low, false, now, random);
        if (is_admitted)
        {
            throttle_record_end(throttle, "route", works, now);
        }
        return is_admitted;
    };
    for (int i = 0; i < 500; ++i)
    {
        (void)send(false);
    }
    {
        SCOPED_TRACE("while all fail, a few are still admitted");
        int admitted_count = 0;
        for (int i = 0; i < 200; ++i)
        {
            admitted_count += send(false) ? 1 : 0;
        }
        EXPECT_GT(admitted_count, 2);
        EXPECT_LT(admitted_count, 60);
    }
    {
        SCOPED_TRACE("10 s after the recovery nearly all are admitted");
        for (int i = 0; i < 1'000; ++i)
        {
            (void)send(true);
        }
        int admitted_count = 0;
        for (int i = 0; i < 200; ++i)
        {
            admitted_count += send(true) ? 1 : 0;
        }
        EXPECT_GT(admitted_count, 190);
    }
}

TEST(route_throttle, throttling_ends_soon_after_a_short_outage)
{
    // All requests fail for a time, as when many nodes restart at once, and
    // then none does.
    route_throttle throttle;
    random_source random(7);
    time_point now{100s};
    const auto run = [&](bool works, duration time)
    {
        int admitted_count = 0;
        int offered = 0;
        for (const time_point end = now + time; now < end; now += 20ms)
        {
            ++offered;
            if (throttle_admits(
                    throttle, "route", priority_class::normal, false, now,
                    random))
            {
                ++admitted_count;
                throttle_record_end(throttle, "route", works, now);
            }
        }
        return static_cast<double>(admitted_count) / offered;
    };
    EXPECT_GE(run(true, 3s), 0.99);
    (void)run(false, 1500ms);
    {
        SCOPED_TRACE("2 s after the outage requests are admitted as before");
        (void)run(true, 2s);
        EXPECT_GE(run(true, 1s), 0.95);
    }
}

TEST(route_throttle, resends_are_preferred)
{
    route_throttle throttle;
    random_source random(7);
    time_point now{100s};
    int first_sent = 0;
    int resent = 0;
    for (int i = 0; i < 2'000; ++i)
    {
        now += 5ms;
        // Four of five admitted requests fail.
        const bool is_resend = i % 2 == 0;
        if (throttle_admits(
                throttle, "route", priority_class::low, is_resend, now, random))
        {
            throttle_record_end(throttle, "route", i % 5 == 0, now);
            (is_resend ? resent : first_sent) += 1;
        }
    }
    EXPECT_GT(resent, first_sent * 3 / 2);
}

} // namespace
} // namespace cyclamenhold
