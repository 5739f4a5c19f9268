// What hosts count of call trees, report to each other and admit.
#include "core/trees/tree_admission.hpp"
#include "core/trees/tree_collector.hpp"
#include "core/trees/tree_messages.hpp"
#include "core/trees/tree_observer.hpp"
#include "core/trees/trees.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace cyclamenhold
{
namespace
{

const time_point start{1000s};
const auto shop = service_id_of("shop");
const auto store = service_id_of("store");
const auto buy = route_id_of("buy");
const auto look = route_id_of("look");
const auto stock = route_id_of("stock");
const tree_key buy_high{buy, shop, priority_class::high};

TEST(tree_observer, calls_belong_to_the_run_with_their_deadline)
{
    tree_observer observer;
    observer.is_enabled = true;
    observe_start(observer, 1, buy, false, start + 5000ms, start);
    observe_start(observer, 2, look, false, start + 5080ms, start);
    observe_call(observer, stock, start + 4997ms);
    observe_call(observer, stock, start + 5003ms);
    observe_call(observer, stock, start + 5079ms);
    {
        SCOPED_TRACE("one that expires at another time belongs to none");
        observe_call(observer, stock, start + 3000ms);
        observe_call(observer, stock, start + 5200ms);
    }
    observe_end(observer, 1, true, start + 100ms);
    observe_end(observer, 2, true, start + 300ms);
    auto counts = counts_of(observer);
    EXPECT_EQ(counts.runs[buy].calls[stock], 2U);
    EXPECT_EQ(counts.runs[buy].slot_us, 100'000U);
    EXPECT_EQ(counts.runs[look].calls[stock], 1U);
    EXPECT_EQ(counts.runs[look].slot_us, 300'000U);
    {
        SCOPED_TRACE("a run that failed says nothing about its calls");
        observe_start(observer, 3, buy, false, start + 5s, start);
        observe_end(observer, 3, false, start + 10ms);
        EXPECT_EQ(counts_of(observer).runs[buy].runs, 1U);
        EXPECT_TRUE(observer.running.empty());
        EXPECT_TRUE(observer.by_deadline.empty());
    }
}

TEST(tree_observer, two_runs_with_the_same_deadline)
{
    tree_observer observer;
    observer.is_enabled = true;
    observe_start(observer, 1, buy, false, start + 5s, start);
    observe_start(observer, 2, look, false, start + 5s, start);
    observe_end(observer, 1, true, start + 10ms);
    observe_call(observer, stock, start + 5s);
    observe_end(observer, 2, true, start + 10ms);
    auto counts = counts_of(observer);
    EXPECT_EQ(counts.runs[look].calls[stock], 1U);
    EXPECT_EQ(counts.runs[buy].calls.size(), 0U);
}

host_counts counts_after(std::uint64_t seconds, std::uint64_t per_second)
{
    host_counts counts;
    counts.service = shop;
    counts.limit = 10;
    const std::uint64_t total = seconds * per_second;
    counts.arrivals[buy_high] = total;
    counts.runs[buy] = {total, total * 100'000, {{stock, total * 2}}};
    return counts;
}

TEST(tree_collector, adds_up_reports)
{
    tree_collector collector;
    const auto host = [](std::uint16_t number)
    {
        return make_host_id(0x0a000001, number);
    };
    for (std::uint64_t second = 0; second <= 10; ++second)
    {
        for (std::uint16_t number = 1; number <= 3; ++number)
        {
            collect_counts(
                collector, host(number), 1, counts_after(second, 20),
                start + std::chrono::seconds(second));
        }
    }
    const time_point now = start + 10s;
    {
        SCOPED_TRACE("demand, limits and costs");
        auto totals = own_totals(collector, now);
        EXPECT_NEAR(totals.demand[buy_high], 60.0, 0.5);
        EXPECT_EQ(totals.services[shop].limit, 30.0);
        EXPECT_NEAR(costs_of(totals).at({buy, shop}).at(shop), 0.1, 1e-6);
    }
    {
        SCOPED_TRACE("a lost report loses nothing");
        collect_counts(collector, host(1), 1, counts_after(13, 20), now + 3s);
        EXPECT_NEAR(
            own_totals(collector, now + 3s).demand[buy_high], 20.0, 0.5);
    }
    {
        SCOPED_TRACE("a host that started again counts from its first report");
        collect_counts(collector, host(1), 2, counts_after(500, 20), now + 4s);
        EXPECT_EQ(own_totals(collector, now + 4s).demand[buy_high], 0.0);
    }
    {
        SCOPED_TRACE("hosts that are silent no longer count");
        auto totals = own_totals(collector, now + 10s);
        EXPECT_TRUE(totals.services.empty());
        EXPECT_TRUE(totals.demand.empty());
    }
}

// A gate that refuses calls of admitted trees shows that more was admitted than
// fits, for example because a service has become slow.
TEST(tree_collector, refused_calls_lower_what_is_admitted)
{
    tree_collector collector;
    const auto host = make_host_id(0x0a000001, 1);
    host_counts counts;
    counts.service = store;
    counts.limit = 10;
    time_point now = start;
    for (int i = 0; i < 50; ++i, now += 200ms)
    {
        counts.started_calls += 80;
        counts.refused_calls += 20;
        collect_counts(collector, host, 1, counts, now);
        update_allotments(collector, 100ms, now);
    }
    EXPECT_LT(collector.usable[store].share, 0.6);
    for (int i = 0; i < 100; ++i, now += 200ms)
    {
        counts.started_calls += 80;
        collect_counts(collector, host, 1, counts, now);
        update_allotments(collector, 100ms, now);
    }
    EXPECT_EQ(collector.usable[store].share, 1.0);
}

// The rates of calls that no longer come fell together, so that their ratio
// stayed, and with it the low share.
TEST(tree_collector, a_service_without_calls_is_usable_again)
{
    tree_collector collector;
    const auto host = make_host_id(0x0a000001, 1);
    host_counts counts;
    counts.service = store;
    counts.limit = 10;
    time_point now = start;
    for (int i = 0; i < 50; ++i, now += 200ms)
    {
        counts.started_calls += 80;
        counts.refused_calls += 20;
        collect_counts(collector, host, 1, counts, now);
        update_allotments(collector, 100ms, now);
    }
    EXPECT_LT(collector.usable[store].share, 0.6);
    for (int i = 0; i < 50; ++i, now += 200ms)
    {
        collect_counts(collector, host, 1, counts, now);
        update_allotments(collector, 100ms, now);
    }
    EXPECT_EQ(collector.usable[store].share, 1.0);
}

// Each configuration may name other routes. What was counted of those that are
// gone stayed at the hosts, in each report and at the collector.
TEST(tree_counts, routes_that_are_gone_are_forgotten)
{
    tree_observer observer;
    observer.is_enabled = true;
    tree_admission admission;
    admission.is_enabled = true;
    tree_collector collector;
    random_source random(3);
    const auto host = make_host_id(0x0a000001, 1);
    observe_limit(observer, shop, 10);
    time_point now = start;
    for (std::uint64_t i = 0; i < 20; ++i, now += 200ms)
    {
        observe_arrival(observer, buy_high);
        (void)admit_tree(admission, buy_high, 0, now, random);
        observe_start(observer, i, buy, false, now + 5s, now);
        observe_call(observer, stock, now + 5s);
        observe_end(observer, i, true, now + 10ms);
        collect_counts(collector, host, 1, counts_of(observer), now);
        update_allotments(collector, 100ms, now);
    }
    EXPECT_EQ(collector.allotments.size(), 1U);
    EXPECT_EQ(collector.runs.size(), 1U);
    {
        SCOPED_TRACE("those that the configuration has are kept");
        forget_other_routes(observer, {buy, stock});
        forget_other_routes(admission, {buy, stock});
        EXPECT_EQ(counts_of(observer).arrivals.at(buy_high), 20U);
        EXPECT_EQ(counts_of(observer).runs.at(buy).calls.at(stock), 20U);
        EXPECT_EQ(admission.rows.size(), 1U);
    }
    forget_other_routes(observer, {look});
    forget_other_routes(admission, {look});
    EXPECT_TRUE(counts_of(observer).arrivals.empty());
    EXPECT_TRUE(counts_of(observer).runs.empty());
    EXPECT_TRUE(admission.rows.empty());
    for (int i = 0; i < 1000; ++i, now += 200ms)
    {
        collect_counts(collector, host, 1, counts_of(observer), now);
        update_allotments(collector, 100ms, now);
    }
    EXPECT_TRUE(collector.hosts.at(host).demand.empty());
    EXPECT_TRUE(collector.allotments.empty());
    EXPECT_TRUE(collector.runs.empty());
    {
        SCOPED_TRACE("a route that returns is counted from its first request");
        observe_arrival(observer, buy_high);
        collect_counts(collector, host, 1, counts_of(observer), now);
        EXPECT_GT(collector.hosts.at(host).demand.at(buy_high), 0.0);
    }
}

// A thousand hosts report each two seconds. Allotments and reports ended before
// the next ones came, so that hosts decided nothing for a quarter of the time.
TEST(tree_budgets, reports_of_a_thousand_hosts_come_in_time)
{
    membership_state members;
    members.settings.self = make_host_id(0x0a000001, 1);
    members.settings.data_centre = data_centre_id_of("north");
    members.self_incarnation = 1;
    members.targets.local.assign(1036, make_host_id(0x0a000002, 1));
    tree_observer observer;
    observer.is_enabled = true;
    observe_limit(observer, shop, 10);
    tree_admission admission;
    admission.is_enabled = true;
    trees_state state;
    random_source random(5);
    trees_start(
        state, {true, members.settings.self, members.settings.data_centre},
        start, random);
    int decided = 0;
    int counted = 0;
    for (int i = 0; i < 1000; ++i)
    {
        const time_point now = start + 20ms * i;
        observe_arrival(observer, buy_high);
        const auto verdict = admit_tree(admission, buy_high, 0, now, random);
        control_actions actions;
        trees_tick(state, {members, observer, admission}, now, actions);
        // The second report is the first from which a demand follows.
        if (i >= 250)
        {
            decided += verdict == tree_verdict::unknown ? 0 : 1;
            counted += own_totals(state.collector, now).demand.empty() ? 0 : 1;
        }
    }
    EXPECT_EQ(decided, 750);
    EXPECT_EQ(counted, 750);
}

// The number of requests that pass of those that arrive in a second, at this
// rate.
int admitted_of(
    tree_admission& admission, int per_second, time_point from,
    std::uint16_t slots = admission_slot_count)
{
    random_source random(7);
    int admitted = 0;
    for (int i = 0; i < per_second; ++i)
    {
        const auto slot =
            static_cast<std::uint16_t>(random_below(random, slots));
        const time_point now =
            from + from_seconds(static_cast<double>(i) / per_second);
        admitted += admit_tree(admission, buy_high, slot, now, random) ==
                            tree_verdict::refused
                        ? 0
                        : 1;
    }
    return admitted;
}

TEST(tree_admission, follows_the_allotment)
{
    tree_admission admission;
    admission.is_enabled = true;
    {
        SCOPED_TRACE("without one, nothing is decided");
        EXPECT_EQ(admitted_of(admission, 200, start), 200);
    }
    {
        SCOPED_TRACE("the share, whatever the slots are");
        set_allotment(admission, buy_high, {0.25, 1.0}, start + 1s);
        EXPECT_NEAR(admitted_of(admission, 200, start + 1s), 50, 12);
        set_allotment(admission, buy_high, {0.25, 1.0}, start + 2s);
        EXPECT_NEAR(admitted_of(admission, 200, start + 2s, 16), 50, 15);
    }
    {
        SCOPED_TRACE("it ends when no newer one comes");
        EXPECT_EQ(admitted_of(admission, 200, start + 4s), 200);
    }
}

// Until the next allotment, a host knows only its own traffic: all hosts
// together must not admit more than fits.
TEST(tree_admission, traffic_grows_within_the_headroom)
{
    tree_admission admission;
    admission.is_enabled = true;
    (void)admitted_of(admission, 100, start);
    (void)admitted_of(admission, 100, start + 1s);
    set_allotment(admission, buy_high, {1.0, 1.5}, start + 2s);
    const int admitted = admitted_of(admission, 500, start + 2s);
    EXPECT_LE(admitted, 100 * 1.5 + 40);
    EXPECT_GE(admitted, 120);
    {
        SCOPED_TRACE("few requests are not refused by chance");
        tree_admission quiet;
        quiet.is_enabled = true;
        set_allotment(quiet, buy_high, {1.0, 1.1}, start);
        EXPECT_EQ(admitted_of(quiet, 3, start), 3);
    }
}

TEST(tree_messages, encoding)
{
    host_counts counts = counts_after(3, 20);
    counts.started_calls = 7;
    counts.refused_calls = 2;
    const auto report = decode_tree_message(encode(tree_report{9, 4, counts}));
    ASSERT_TRUE(report);
    EXPECT_EQ(std::get<tree_report>(*report).report, 9U);
    EXPECT_EQ(std::get<tree_report>(*report).host_incarnation, 4U);
    EXPECT_EQ(std::get<tree_report>(*report).counts, counts);
    {
        SCOPED_TRACE("an allotment without a limit");
        const auto reply = decode_tree_message(encode(tree_reply{
            9,
            {{buy_high, {0.5, 1.0}},
             {{look, shop, priority_class::low}, {}}}}));
        ASSERT_TRUE(reply);
        auto rows = std::get<tree_reply>(*reply).allotments;
        EXPECT_EQ(rows[buy_high].share, 0.5);
        EXPECT_TRUE(std::isinf(
            rows[tree_key{look, shop, priority_class::low}].headroom));
    }
    {
        SCOPED_TRACE("numbers that are none");
        tree_totals totals;
        totals.demand[buy_high] = std::numeric_limits<double>::quiet_NaN();
        EXPECT_FALSE(decode_tree_message(encode(totals)));
        totals.demand[buy_high] = -1.0;
        EXPECT_FALSE(decode_tree_message(encode(totals)));
        totals.demand[buy_high] = 1.0;
        EXPECT_TRUE(decode_tree_message(encode(totals)));
    }
    {
        SCOPED_TRACE("bytes that are no message");
        EXPECT_FALSE(
            decode_tree_message(std::vector<std::uint8_t>{1, 2, 3, 4}));
    }
}

} // namespace
} // namespace cyclamenhold
