#include "core/routing/routing.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cyclamenhold
{
namespace
{

const time_point start_time{1000s};
const auto here = data_centre_id_of("here");
const auto elsewhere = data_centre_id_of("elsewhere");

upstream_location
location(std::uint16_t number, data_centre_id where, std::uint32_t slots = 100)
{
    return {
        make_host_id(0x0a000001, number),
        1,
        where,
        {"lookup", upstream_state::serving, slots, 1000, 1}};
}

routing_view view_of(const std::vector<upstream_location>& locations)
{
    return build_routing_view(locations, here, routing_view{});
}

std::vector<routing_candidate>& candidates(routing_view& view)
{
    return view.services.begin()->second;
}

// Returns how many of 1000 requests are sent to each candidate.
std::vector<int> count_choices(const routing_view& view, time_point now)
{
    request_context context;
    context.service = service_id_of("lookup");
    random_source random(5);
    const auto& known = view.services.begin()->second;
    std::vector<int> counts(known.size());
    for (int i = 0; i < 1000; ++i)
    {
        const auto choice = choose_upstream(view, context, {}, now, random);
        for (std::size_t c = 0; c < known.size(); ++c)
        {
            const bool chosen = choice.reason == refusal::none &&
                                choice.candidate.stats == known[c].stats;
            counts[c] += chosen ? 1 : 0;
        }
    }
    return counts;
}

TEST(routing, locality)
{
    auto view = view_of({location(1, here), location(2, elsewhere)});
    EXPECT_EQ(count_choices(view, start_time), (std::vector<int>{1000, 0}));
    {
        SCOPED_TRACE("a full local upstream sends requests elsewhere");
        candidates(view)[0].stats->outstanding = 150;
        EXPECT_EQ(count_choices(view, start_time), (std::vector<int>{0, 1000}));
    }
    {
        SCOPED_TRACE("unless the expected time is no better there");
        candidates(view)[1].stats->outstanding = 140;
        EXPECT_EQ(count_choices(view, start_time), (std::vector<int>{1000, 0}));
    }
}

TEST(routing, upstreams_of_different_speed)
{
    // Hardware of different age: the upstream in this data centre is the
    // slowest.
    auto view = view_of(
        {location(1, here), location(2, elsewhere), location(3, elsewhere)});
    const auto report =
        [&](std::size_t index, duration latency, std::uint32_t in_flight)
    {
        load_report sample;
        sample.limit = 100;
        sample.in_flight = in_flight;
        sample.latency = latency;
        record_load_report(*candidates(view)[index].stats, sample, start_time);
    };
    {
        SCOPED_TRACE(
            "requests stay local when the upstream is a little slower");
        report(0, 120ms, 10);
        report(1, 100ms, 10);
        report(2, 100ms, 10);
        EXPECT_EQ(count_choices(view, start_time)[0], 1000);
    }
    {
        SCOPED_TRACE("requests go to upstreams that are much faster");
        report(0, 170ms, 10);
        report(1, 70ms, 10);
        report(2, 70ms, 10);
        EXPECT_EQ(count_choices(view, start_time)[0], 0);
    }
    {
        SCOPED_TRACE("until the fast upstreams are full");
        report(1, 70ms, 98);
        report(2, 70ms, 98);
        EXPECT_EQ(count_choices(view, start_time)[0], 1000);
    }
    {
        SCOPED_TRACE("an upstream that fails fast attracts no requests");
        report(0, 100ms, 10);
        report(1, 10ms, 10);
        report(2, 10ms, 10);
        for (std::size_t index = 1; index <= 2; ++index)
        {
            candidates(view)[index].stats->failure_share = 1'000'000;
        }
        EXPECT_EQ(count_choices(view, start_time)[0], 1000);
    }
}

TEST(routing, outliers)
{
    auto view =
        view_of({location(1, here), location(2, here), location(3, here)});
    const auto fail = [&](std::size_t index)
    {
        upstream_stats& stats = *candidates(view)[index].stats;
        for (int i = 0; i < 5; ++i)
        {
            record_attempt_started(stats);
            record_attempt_ended(
                stats, attempt_status::failed, 1ms, start_time);
        }
    };
    fail(0);
    EXPECT_EQ(count_choices(view, start_time)[0], 0);
    {
        SCOPED_TRACE("at most half of a service is ejected");
        fail(1);
        fail(2);
        const auto counts = count_choices(view, start_time);
        EXPECT_EQ(std::ranges::count(counts, 0), 1);
    }
    {
        SCOPED_TRACE("all of them are used again later");
        EXPECT_EQ(
            std::ranges::count(count_choices(view, start_time + 8s), 0), 0);
    }
}

TEST(routing, unreachable_hosts)
{
    // A network partition drops packets without an error. Without a record of
    // the unreachable host, one request after the other would wait for a
    // connection to it.
    auto view = view_of(
        {location(1, here), location(2, elsewhere), location(3, elsewhere)});
    const auto unreachable = make_host_id(0x0a000001, 1);
    EXPECT_TRUE(record_host_unreachable(view, unreachable, start_time));
    EXPECT_FALSE(record_host_unreachable(view, unreachable, start_time));
    EXPECT_EQ(count_choices(view, start_time)[0], 0);
    {
        SCOPED_TRACE("it is tried again after 500 ms");
        EXPECT_EQ(count_choices(view, start_time + 600ms)[0], 1000);
    }
    {
        SCOPED_TRACE("the time doubles when it still does not answer");
        const auto again = start_time + 600ms;
        EXPECT_TRUE(record_host_unreachable(view, unreachable, again));
        EXPECT_EQ(count_choices(view, again + 900ms)[0], 0);
        EXPECT_EQ(count_choices(view, again + 1100ms)[0], 1000);
    }
    {
        SCOPED_TRACE("a load report ends it");
        const auto later = start_time + 5s;
        EXPECT_TRUE(record_host_unreachable(view, unreachable, later));
        load_report report;
        report.limit = 100;
        record_load_report(*candidates(view)[0].stats, report, later);
        EXPECT_EQ(count_choices(view, later)[0], 1000);
    }
    {
        SCOPED_TRACE("when no host answers, all are tried");
        for (std::uint16_t number = 1; number <= 3; ++number)
        {
            EXPECT_TRUE(record_host_unreachable(
                view, make_host_id(0x0a000001, number), start_time + 9s));
        }
        EXPECT_EQ(count_choices(view, start_time + 9s)[0], 1000);
    }
}

TEST(routing, admission_levels)
{
    auto view = view_of({location(1, here)});
    load_report report;
    report.limit = 100;
    report.level = {priority_class::critical, 10};
    record_load_report(*candidates(view)[0].stats, report, start_time);
    EXPECT_LE(count_choices(view, start_time)[0], 50);
    EXPECT_GE(count_choices(view, start_time)[0], 5);
    EXPECT_EQ(count_choices(view, start_time + 3s)[0], 1000);
}

TEST(routing, draining_upstream)
{
    auto draining = location(1, here);
    draining.record.state = upstream_state::draining;
    const auto view = view_of({draining, location(2, elsewhere)});
    EXPECT_EQ(count_choices(view, start_time), (std::vector<int>{0, 1000}));
}

} // namespace
} // namespace cyclamenhold
