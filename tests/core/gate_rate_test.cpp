// A gate before an upstream that names a rate in its replies.
#include "core/gate/gate.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <vector>

namespace cyclamenhold
{
namespace
{

constexpr duration run_time = 50ms;
constexpr duration window = 4s;
constexpr double rate_tolerance = 1.5;
constexpr double window_slack = 5.0;

// Requests arrive every 10 ms and run for 50 ms. Each reply names `rate`.
struct capped_upstream
{
    capped_upstream()
    {
        (void)gate_set_upstream(
            gate, {"lookup", upstream_state::serving, 100, 1000, 1}, now);
    }

    void apply(const gate_decisions& decisions)
    {
        for (const auto& [entry_id, reason] : decisions)
        {
            if (reason == refusal::none)
            {
                starts.push_back(now);
                ends.emplace(now + run_time, entry_id);
                continue;
            }
            ++refused;
        }
    }

    void run_for(duration time)
    {
        for (const time_point until = now + time; now < until; now += 10ms)
        {
            while (!ends.empty() && ends.begin()->first <= now)
            {
                const gate_entry_id ended = ends.begin()->second;
                ends.erase(ends.begin());
                apply(gate_set_rate(gate, rate, now));
                apply(gate_finish(gate, ended, gate_result::replied, now));
            }
            gate_request request;
            request.entry_id = ++offered;
            request.context.deadline = now + 5s;
            apply(gate_offer(gate, request, now));
            apply(gate_tick(gate, now));
        }
    }

    // The most requests started in any window that begins at `from` or later.
    [[nodiscard]] std::size_t most_started(time_point from) const
    {
        std::size_t most = 0;
        auto first = std::ranges::lower_bound(starts, from);
        for (auto last = first; last != starts.end(); ++last)
        {
            while (*last - *first >= window)
            {
                ++first;
            }
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    [[nodiscard]] std::size_t started_since(time_point from) const
    {
        return static_cast<std::size_t>(
            starts.end() - std::ranges::lower_bound(starts, from));
    }

    gate_state gate;
    time_point now{1000s};
    std::optional<double> rate;
    std::vector<time_point> starts;
    std::multimap<time_point, gate_entry_id> ends;
    gate_entry_id offered = 0;
    std::size_t refused = 0;
};

// An upstream that named a rate got as many requests as its slots could run
// (LIMIT). Its gate must keep to the rate for as long as it is named.
TEST(gate_rate, a_named_rate_is_not_exceeded)
{
    for (const double rate : {0.0, 0.4, 3.0, 20.0, 33.3})
    {
        SCOPED_TRACE(rate);
        capped_upstream upstream;
        upstream.run_for(2s);
        EXPECT_GE(upstream.started_since(time_point{1000s}), 199U);
        upstream.rate = rate;
        upstream.run_for(100ms);
        const time_point from = upstream.now;
        upstream.run_for(20s);
        {
            SCOPED_TRACE("in no window more than the rate allows");
            EXPECT_LE(
                static_cast<double>(upstream.most_started(from)),
                rate_tolerance * rate * to_seconds(window) + window_slack);
        }
        {
            SCOPED_TRACE("what the upstream takes is used");
            EXPECT_GE(
                static_cast<double>(upstream.started_since(from)),
                0.9 * rate * 20.0);
        }
        {
            SCOPED_TRACE("the other requests are refused, not run");
            EXPECT_EQ(
                upstream.starts.size() + upstream.refused +
                    queue_size(upstream.gate.queue),
                upstream.offered);
        }
        {
            SCOPED_TRACE("other nodes are told to send less");
            EXPECT_LE(
                gate_report(upstream.gate, upstream.now).limit,
                std::max(1.0, rate * 0.1));
        }
        {
            SCOPED_TRACE("replies without a rate end it");
            upstream.rate = std::nullopt;
            upstream.run_for(4s);
            const time_point later = upstream.now;
            upstream.run_for(2s);
            EXPECT_GE(upstream.started_since(later), 199U);
        }
    }
}

TEST(gate_rate, values_that_are_no_rate_change_nothing)
{
    capped_upstream upstream;
    upstream.rate = 20.0;
    upstream.run_for(1s);
    for (const double odd :
         {-1.0, std::numeric_limits<double>::infinity(),
          std::numeric_limits<double>::quiet_NaN()})
    {
        cap_set(upstream.gate.cap, odd, upstream.now);
        EXPECT_EQ(upstream.gate.cap.rate, 20.0);
    }
}

} // namespace
} // namespace cyclamenhold
