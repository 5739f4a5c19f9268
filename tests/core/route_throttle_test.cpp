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

// Sends 200 requests a second of one class for ten seconds to a tree of calls
// that serves `capacity` of them a second: what is let in beyond it fails.
throttled_run run_against(double capacity, priority_class priority)
{
    constexpr int per_second = 200;
    constexpr int seconds = 10;
    constexpr int judged_from = per_second * 4;
    route_throttle throttle;
    random_source random(7);
    time_point now{100s};
    double room = 0.0;
    int admitted = 0;
    int succeeded = 0;
    int judged = 0;
    for (int i = 0; i < per_second * seconds; ++i)
    {
        now += duration(1s) / per_second;
        room = std::min(5.0, room + capacity / per_second);
        const bool let_in =
            throttle_admits(throttle, "route", priority, false, now, random);
        const bool well = let_in && room >= 1.0;
        room -= let_in ? std::min(room, 1.0) : 0.0;
        if (let_in)
        {
            throttle_record_end(throttle, "route", well, now);
        }
        if (i >= judged_from)
        {
            ++judged;
            admitted += let_in ? 1 : 0;
            succeeded += well ? 1 : 0;
        }
    }
    return {
        static_cast<double>(admitted) / judged,
        static_cast<double>(succeeded) / std::max(1, admitted)};
}

TEST(route_throttle, a_deep_service_is_overloaded)
{
    {
        SCOPED_TRACE("with capacity for all, all are let in");
        EXPECT_GE(
            run_against(400.0, priority_class::low).admitted_share, 0.999);
    }
    {
        SCOPED_TRACE("at half the demand most of those let in succeed");
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

TEST(route_throttle, a_service_that_comes_back_is_found_again)
{
    route_throttle throttle;
    random_source random(7);
    time_point now{100s};
    const auto send = [&](bool works)
    {
        now += 10ms;
        const bool let_in = throttle_admits(
            throttle, "route", priority_class::low, false, now, random);
        if (let_in)
        {
            throttle_record_end(throttle, "route", works, now);
        }
        return let_in;
    };
    for (int i = 0; i < 500; ++i)
    {
        (void)send(false);
    }
    {
        SCOPED_TRACE("while nothing works, some are still let in to see");
        int let_in = 0;
        for (int i = 0; i < 200; ++i)
        {
            let_in += send(false) ? 1 : 0;
        }
        EXPECT_GT(let_in, 2);
        EXPECT_LT(let_in, 60);
    }
    {
        SCOPED_TRACE("some seconds after it works again, nearly all are");
        for (int i = 0; i < 1'000; ++i)
        {
            (void)send(true);
        }
        int let_in = 0;
        for (int i = 0; i < 200; ++i)
        {
            let_in += send(true) ? 1 : 0;
        }
        EXPECT_GT(let_in, 190);
    }
}

TEST(route_throttle, a_short_outage_is_not_outlasted)
{
    // All requests below fail for a while, as when many nodes restart at
    // once, and then none does.
    route_throttle throttle;
    random_source random(7);
    time_point now{100s};
    const auto run = [&](bool works, duration time)
    {
        int let_in = 0;
        int offered = 0;
        for (const time_point end = now + time; now < end; now += 20ms)
        {
            ++offered;
            if (throttle_admits(
                    throttle, "route", priority_class::normal, false, now,
                    random))
            {
                ++let_in;
                throttle_record_end(throttle, "route", works, now);
            }
        }
        return static_cast<double>(let_in) / offered;
    };
    EXPECT_GE(run(true, 3s), 0.99);
    (void)run(false, 1500ms);
    {
        SCOPED_TRACE("two seconds later requests are let in as before");
        (void)run(true, 2s);
        EXPECT_GE(run(true, 1s), 0.95);
    }
}

TEST(route_throttle, those_who_come_back_go_first)
{
    route_throttle throttle;
    random_source random(7);
    time_point now{100s};
    int newcomers = 0;
    int returning = 0;
    for (int i = 0; i < 2'000; ++i)
    {
        now += 5ms;
        // Four of five that are let in fail.
        const bool is_resend = i % 2 == 0;
        if (throttle_admits(
                throttle, "route", priority_class::low, is_resend, now, random))
        {
            throttle_record_end(throttle, "route", i % 5 == 0, now);
            (is_resend ? returning : newcomers) += 1;
        }
    }
    EXPECT_GT(returning, newcomers * 3 / 2);
}

} // namespace
} // namespace cyclamenhold
