// The gate before an upstream that takes few requests a second while it is
// cold. The load: a zone's upstreams return together, and the fleet sends each
// of them as many requests as before.
#include "core/gate/gate.hpp"
#include "core/routing/routing.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace cyclamenhold
{
namespace
{

constexpr duration run_time = 120ms;
constexpr double cold_rate = 13.0;
constexpr cold_tolerance tolerance{1.5, 8.0};
// What the tolerance allows in one second.
constexpr std::size_t most_allowed = 27;

upstream_record record_with(upstream_state state)
{
    return {"front", state, 180, 1180, 1, cold_rate};
}

// Requests arrive every 5 ms, three hundred more at the start of each second,
// and run for 120 ms.
struct loaded_gate
{
    loaded_gate()
    {
        gate.settings.has_exact_slots = true;
        gate.settings.cold = tolerance;
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

    void announce(upstream_state state)
    {
        apply(gate_set_upstream(gate, record_with(state), now));
    }

    void offer()
    {
        gate_request request;
        request.entry_id = ++offered;
        request.context.deadline = now + 2s;
        apply(gate_offer(gate, request, now));
    }

    void run_for(duration time)
    {
        for (const time_point until = now + time; now < until; now += 5ms)
        {
            while (!ends.empty() && ends.begin()->first <= now)
            {
                const gate_entry_id ended = ends.begin()->second;
                ends.erase(ends.begin());
                apply(gate_finish(gate, ended, gate_result::replied, now));
            }
            const bool is_burst = now.time_since_epoch() % 1s < 5ms;
            for (int i = 0; i < (is_burst ? 300 : 1); ++i)
            {
                offer();
            }
            apply(gate_tick(gate, now));
        }
    }

    // The most starts in any second that begins at `from` or later.
    [[nodiscard]] std::size_t most_in_a_second(time_point from) const
    {
        std::size_t most = 0;
        auto first = std::ranges::lower_bound(starts, from);
        for (auto last = first; last != starts.end(); ++last)
        {
            while (*last - *first >= 1s)
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
    std::vector<time_point> starts;
    std::multimap<time_point, gate_entry_id> ends;
    gate_entry_id offered = 0;
    std::size_t refused = 0;
};

// A cold upstream got as many requests as its slots could run, and ended
// (FAILBACK).
TEST(cold_bound, a_cold_upstream_gets_no_more_than_it_takes)
{
    loaded_gate upstream;
    {
        SCOPED_TRACE(
            "announced cold, under a load that is twenty times too high");
        upstream.announce(upstream_state::warming);
        const time_point from = upstream.now;
        upstream.run_for(10s);
        EXPECT_LE(upstream.most_in_a_second(from), most_allowed);
        EXPECT_GE(
            static_cast<double>(upstream.started_since(from)),
            0.9 * cold_rate * 10.0);
        EXPECT_EQ(
            upstream.starts.size() + upstream.refused +
                queue_size(upstream.gate.queue),
            upstream.offered);
    }
    {
        SCOPED_TRACE("other nodes see the capacity that is left");
        EXPECT_LE(gate_report(upstream.gate, upstream.now).limit, 2U);
    }
    {
        SCOPED_TRACE("warm, it takes everything that its slots can run");
        upstream.announce(upstream_state::serving);
        const time_point from = upstream.now;
        upstream.run_for(1s);
        EXPECT_GE(upstream.started_since(from), 200U);
    }
    {
        SCOPED_TRACE(
            "cold again while it runs, it starts with nothing saved up");
        upstream.announce(upstream_state::warming);
        const time_point from = upstream.now;
        upstream.run_for(100ms);
        EXPECT_LE(upstream.started_since(from), 2U);
        upstream.run_for(5s);
        EXPECT_LE(upstream.most_in_a_second(from), most_allowed);
    }
}

TEST(cold_bound, upstreams_without_a_rate_are_not_limited)
{
    loaded_gate upstream;
    upstream_record record = record_with(upstream_state::warming);
    record.cold_rate = 0.0;
    upstream.apply(gate_set_upstream(upstream.gate, record, upstream.now));
    const time_point from = upstream.now;
    upstream.run_for(1s);
    EXPECT_GE(upstream.started_since(from), 200U);
}

TEST(cold_bound, the_burst_uses_half_of_the_tolerance)
{
    EXPECT_DOUBLE_EQ(cold_burst(13.0, {1.5, 8.0}), 7.25);
    EXPECT_DOUBLE_EQ(cold_burst(13.0, {1.0, 0.0}), 1.0);
    EXPECT_DOUBLE_EQ(cold_burst(0.0, {1.5, 0.0}), 1.0);
}

// Each entry sent a cold upstream requests until one of them was refused there.
TEST(cold_bound, entries_send_little_before_they_have_a_report)
{
    constexpr std::uint32_t slots = 180;
    const auto here = data_centre_id_of("here");
    const auto location = [&](std::uint16_t number, upstream_state state)
    {
        upstream_location at{
            make_host_id(0x0a000001, number), 1, here, record_with(state)};
        at.record.slots = slots;
        return at;
    };
    const auto view = build_routing_view(
        std::vector{
            location(1, upstream_state::warming),
            location(2, upstream_state::serving)},
        here, routing_view{});
    request_context context;
    context.service = service_id_of("front");
    random_source random(5);
    int cold = 0;
    for (int i = 0; i < 100; ++i)
    {
        const auto choice =
            choose_upstream(view, context, {}, time_point{1000s}, random);
        ASSERT_EQ(choice.reason, refusal::none);
        ++choice.candidate.stats->outstanding;
        cold +=
            choice.candidate.location.record.state == upstream_state::warming
                ? 1
                : 0;
    }
    EXPECT_LE(cold, 2);
}

} // namespace
} // namespace cyclamenhold
