#include "core/base/random.hpp"
#include "core/gate/gate.hpp"
#include "support/gate_requests.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>

namespace cyclamenhold
{
namespace
{

TEST(gate, order_of_the_queue)
{
    gate_state gate = make_gate(1);
    EXPECT_TRUE(
        holds(gate_offer(gate, make_request(1), start_time), 1, refusal::none));
    {
        SCOPED_TRACE("requests without a free slot are queued");
        EXPECT_TRUE(gate_offer(gate, make_request(2), start_time).empty());
        EXPECT_TRUE(gate_offer(gate, make_request(3), start_time).empty());
        EXPECT_TRUE(
            gate_offer(
                gate, make_request(4, priority_class::normal, 2), start_time)
                .empty());
        EXPECT_TRUE(
            gate_offer(
                gate, make_request(5, priority_class::critical), start_time)
                .empty());
    }
    {
        SCOPED_TRACE("the most important class is first, then the workspace "
                     "that was served least, then the oldest request");
        gate_entry_id ended = 1;
        for (const gate_entry_id next : {5, 4, 2, 3})
        {
            const auto decisions =
                gate_finish(gate, ended, gate_result::replied, start_time);
            EXPECT_TRUE(holds(decisions, next, refusal::none)) << next;
            ended = next;
        }
    }
}

TEST(gate, full_queue)
{
    gate_state gate = make_gate(1);
    gate_entry_id entry_id = 0;
    while (queue_size(gate.queue) < 8)
    {
        (void)gate_offer(
            gate, make_request(++entry_id, priority_class::low), start_time);
    }
    {
        SCOPED_TRACE("a more important request replaces another");
        const auto decisions = gate_offer(
            gate, make_request(100, priority_class::high), start_time);
        ASSERT_EQ(decisions.size(), 1U);
        EXPECT_EQ(decisions[0].reason, refusal::overloaded);
        EXPECT_NE(decisions[0].entry_id, 100U);
    }
    {
        SCOPED_TRACE("a workspace with few queued requests replaces a request "
                     "of one with many");
        const auto decisions = gate_offer(
            gate, make_request(101, priority_class::low, 2), start_time);
        ASSERT_EQ(decisions.size(), 1U);
        EXPECT_NE(decisions[0].entry_id, 101U);
    }
    {
        SCOPED_TRACE("a less important request replaces none");
        for (gate_entry_id next = 200; next < 300; ++next)
        {
            (void)gate_offer(
                gate, make_request(next, priority_class::high), start_time);
        }
        const auto decisions = gate_offer(
            gate, make_request(300, priority_class::low, 9), start_time);
        EXPECT_TRUE(holds(decisions, 300, refusal::overloaded));
    }
}

TEST(gate, expired_and_cancelled_requests)
{
    gate_state gate = make_gate(1);
    (void)gate_offer(gate, make_request(1), start_time);
    (void)gate_offer(
        gate, make_request(2, priority_class::normal, 1, start_time + 50ms),
        start_time);
    (void)gate_offer(gate, make_request(3), start_time);
    (void)gate_offer(gate, make_request(4), start_time);
    {
        SCOPED_TRACE("expired requests are refused, never started");
        EXPECT_TRUE(holds(
            gate_tick(gate, start_time + 50ms), 2, refusal::deadline_exceeded));
    }
    {
        SCOPED_TRACE("cancelled requests are removed");
        EXPECT_TRUE(gate_cancel(gate, 3, start_time + 60ms).empty());
        const auto decisions =
            gate_finish(gate, 1, gate_result::replied, start_time + 70ms);
        ASSERT_EQ(decisions.size(), 1U);
        EXPECT_TRUE(holds(decisions, 4, refusal::none));
    }
    {
        SCOPED_TRACE("a draining upstream gets no more requests");
        (void)gate_offer(gate, make_request(5), start_time + 80ms);
        upstream_record record = serving(1);
        record.state = upstream_state::draining;
        EXPECT_TRUE(holds(
            gate_set_upstream(gate, record, start_time + 90ms), 5,
            refusal::draining));
        EXPECT_TRUE(holds(
            gate_offer(gate, make_request(6), start_time + 90ms), 6,
            refusal::draining));
    }
}

TEST(gate, suspects_run_one_at_a_time)
{
    gate_state gate = make_gate(10);
    for (const gate_entry_id entry_id : {1, 2})
    {
        gate_request request = make_request(entry_id);
        request.suspect = true;
        request.context.digest = 70 + entry_id;
        const bool started =
            !gate_offer(gate, std::move(request), start_time).empty();
        EXPECT_EQ(started, entry_id == 1);
    }
    EXPECT_TRUE(
        holds(gate_offer(gate, make_request(3), start_time), 3, refusal::none));
    EXPECT_EQ(gate_running_digests(gate), (std::vector<std::uint64_t>{0, 71}));
    EXPECT_TRUE(holds(
        gate_finish(gate, 1, gate_result::replied, start_time), 2,
        refusal::none));
}

// Simulates an upstream that runs `slots` requests at once and queues the rest,
// behind a gate whose queue is never empty. Returns the limit after `length`.
std::uint32_t
learn_limit(std::uint32_t announced, std::uint32_t slots, duration length)
{
    gate_state gate = make_gate(announced);
    random_source random(7);
    std::multimap<time_point, gate_entry_id> ends;
    std::deque<gate_entry_id> queued_at_upstream;
    std::size_t busy = 0;
    gate_entry_id next = 0;
    time_point now = start_time;
    time_point tick_at = now;
    const auto begin_run = [&](gate_entry_id entry_id)
    {
        ++busy;
        ends.emplace(now + 20ms + random_below(random, 20) * 1ms, entry_id);
    };
    const auto apply = [&](const gate_decisions& decisions)
    {
        for (const auto& [entry_id, reason] : decisions)
        {
            if (reason != refusal::none)
            {
                continue;
            }
            if (busy < slots)
            {
                begin_run(entry_id);
                continue;
            }
            queued_at_upstream.push_back(entry_id);
        }
    };
    while (now < start_time + length)
    {
        for (int i = 0; i < 30; ++i)
        {
            apply(gate_offer(
                gate,
                make_request(++next, priority_class::normal, 1, now + 10s),
                now));
        }
        now += 1ms;
        while (!ends.empty() && ends.begin()->first <= now)
        {
            const gate_entry_id entry_id = ends.begin()->second;
            ends.erase(ends.begin());
            --busy;
            if (!queued_at_upstream.empty())
            {
                begin_run(queued_at_upstream.front());
                queued_at_upstream.pop_front();
            }
            apply(gate_finish(gate, entry_id, gate_result::replied, now));
        }
        if (now >= tick_at)
        {
            apply(gate_tick(gate, now));
            tick_at = now + 10ms;
        }
    }
    return static_cast<std::uint32_t>(gate.limit.value);
}

TEST(gate, limit_adapts_to_upstream)
{
    {
        SCOPED_TRACE("a correct announcement is kept");
        const auto limit = learn_limit(100, 100, 30s);
        EXPECT_GE(limit, 90U);
        EXPECT_LE(limit, 125U);
    }
    {
        SCOPED_TRACE("an announcement five times too high is corrected");
        const auto limit = learn_limit(100, 20, 15s);
        EXPECT_GE(limit, 17U);
        EXPECT_LE(limit, 30U);
    }
    {
        SCOPED_TRACE("an announcement five times too low is corrected");
        EXPECT_GE(learn_limit(20, 100, 30s), 85U);
    }
    {
        SCOPED_TRACE("the limit stays within the connection cap");
        gate_state gate;
        (void)gate_set_upstream(gate, serving(100, 30), start_time);
        EXPECT_EQ(gate_report(gate, start_time).limit, 30U);
    }
}

TEST(gate, limit_drops_when_upstream_sheds)
{
    gate_state gate = make_gate(100);
    gate_entry_id entry_id = 0;
    for (int i = 0; i < 100; ++i)
    {
        (void)gate_offer(gate, make_request(++entry_id), start_time);
    }
    (void)gate_finish(gate, 1, gate_result::shed, start_time + 100ms);
    EXPECT_EQ(gate_report(gate, start_time + 100ms).limit, 90U);
}

// Upstreams that wait for calls to each other deadlock when root requests can
// use the whole limit.
TEST(gate, limit_reserved_for_calls)
{
    gate_state gate;
    gate.settings = {true, 0.25, true};
    EXPECT_TRUE(gate_set_upstream(gate, serving(20), start_time).empty());
    EXPECT_EQ(current_limit(gate.limit, start_time), 19U);
    gate_entry_id entry_id = 0;
    for (int i = 0; i < 40; ++i)
    {
        (void)gate_offer(gate, make_request(++entry_id), start_time);
    }
    const auto roots = gate.running.size();
    {
        SCOPED_TRACE("root requests leave the reserved part free");
        EXPECT_EQ(roots, 15U);
        EXPECT_GT(queue_size(gate.queue), 0U);
    }
    {
        SCOPED_TRACE("a child call starts at once");
        auto call = make_request(++entry_id, priority_class::critical);
        call.context.depth = 1;
        EXPECT_TRUE(
            holds(gate_offer(gate, call, start_time), entry_id, refusal::none));
    }
    {
        SCOPED_TRACE("no root request starts in the slot of the ended call");
        (void)gate_finish(
            gate, entry_id, gate_result::replied, start_time + 5ms);
        EXPECT_EQ(gate.running_roots, roots);
    }
    {
        SCOPED_TRACE(
            "a root request starts in the slot of an ended root request");
        const auto decisions =
            gate_finish(gate, 1, gate_result::replied, start_time + 100ms);
        EXPECT_EQ(decisions.size(), 1U);
        EXPECT_EQ(gate.running_roots, roots);
    }
}

TEST(gate, exact_limit_recovers_after_shedding)
{
    gate_state gate;
    gate.settings = {true, 0.0, true};
    (void)gate_set_upstream(gate, serving(100), start_time);
    for (gate_entry_id entry_id = 1; entry_id <= 50; ++entry_id)
    {
        (void)gate_offer(gate, make_request(entry_id), start_time);
    }
    (void)gate_finish(gate, 1, gate_result::shed, start_time + 100ms);
    EXPECT_LT(current_limit(gate.limit, start_time + 100ms), 50U);
    for (int i = 0; i < 500; ++i)
    {
        (void)gate_tick(gate, start_time + 100ms + i * 10ms);
    }
    EXPECT_EQ(current_limit(gate.limit, start_time + 6s), 95U);
}

TEST(gate, queued_requests_are_refused_before_their_deadline)
{
    gate_state gate = make_gate(1);
    gate.settings.refuses_before_deadline = true;
    // Each request runs for 200 ms.
    for (gate_entry_id entry_id = 1; entry_id < 60; ++entry_id)
    {
        const time_point at = start_time + entry_id * 200ms;
        (void)gate_offer(
            gate, make_request(entry_id, priority_class::normal, 1, at + 10s),
            at);
        (void)gate_finish(gate, entry_id, gate_result::replied, at + 200ms);
    }
    const time_point now = start_time + 60 * 200ms;
    (void)gate_offer(
        gate, make_request(100, priority_class::normal, 1, now + 10s), now);
    (void)gate_offer(
        gate, make_request(101, priority_class::normal, 1, now + 500ms), now);
    EXPECT_TRUE(gate_tick(gate, now + 380ms).empty());
    EXPECT_TRUE(
        holds(gate_tick(gate, now + 420ms), 101, refusal::deadline_exceeded));
}

} // namespace
} // namespace cyclamenhold
