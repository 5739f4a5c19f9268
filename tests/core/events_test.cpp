#include "core/events/event_json.hpp"
#include "core/events/time_line.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace cyclamenhold
{
namespace
{

const host_id first_host = make_host_id(0x0a000001, 7400);
const host_id second_host = make_host_id(0x0a000002, 7400);
const trace_id some_trace{1, 2};

event_record
record_at(std::uint64_t wall_ms, host_id host, trace_id trace = some_trace)
{
    event what;
    what.kind = event_kind::attempt_started;
    what.trace = trace;
    what.workspace = workspace_id_of("school");
    what.detail = "to 10.0.0.2";
    return {make_hybrid_time(wall_ms), host, what};
}

TEST(hybrid_clock, effects_are_later_than_causes)
{
    const hybrid_time sent = next_hybrid_time(hybrid_time::none, 1000);
    {
        SCOPED_TRACE("follows a wall clock that advances");
        EXPECT_EQ(sent, make_hybrid_time(1000));
        EXPECT_EQ(next_hybrid_time(sent, 2000), make_hybrid_time(2000));
    }
    {
        SCOPED_TRACE(
            "counts up while the wall clock stands still or goes back");
        EXPECT_EQ(next_hybrid_time(sent, 1000), make_hybrid_time(1000, 1));
        EXPECT_EQ(next_hybrid_time(sent, 900), make_hybrid_time(1000, 1));
    }
    {
        SCOPED_TRACE(
            "a receive time is later than the send time of a host ahead");
        const hybrid_time received =
            receive_hybrid_time(make_hybrid_time(700), sent, 800);
        EXPECT_GT(received, sent);
        EXPECT_EQ(wall_ms_of(received), 1000U);
    }
    {
        SCOPED_TRACE("ignores a remote clock more than 60 s ahead");
        EXPECT_EQ(
            receive_hybrid_time(
                sent, make_hybrid_time(1001 + max_clock_lead_ms), 1000),
            make_hybrid_time(1000, 1));
    }
    {
        SCOPED_TRACE(
            "an overflow of the counter carries into the milliseconds");
        EXPECT_EQ(
            next_hybrid_time(make_hybrid_time(1000, 0xffff), 1000),
            make_hybrid_time(1001));
    }
}

TEST(hybrid_clock, text_round_trip)
{
    const hybrid_time time = make_hybrid_time(1'700'000'000'123, 5);
    EXPECT_EQ(parse_hybrid_time(to_string(time)), time);
    EXPECT_LT(to_string(time), to_string(make_hybrid_time(1'700'000'000'124)));
    EXPECT_FALSE(parse_hybrid_time("12").has_value());
    EXPECT_FALSE(parse_hybrid_time("000000000000000g").has_value());
    EXPECT_EQ(format_utc(1'700'000'000'123), "2023-11-14T22:13:20.123Z");
}

RC_GTEST_PROP(hybrid_clock, is_always_later, (std::uint32_t seed))
{
    hybrid_time last = make_hybrid_time(seed % 1'000'000);
    for (const auto wall_ms : *rc::gen::container<std::vector<std::uint64_t>>(
             rc::gen::inRange<std::uint64_t>(0, 1'000'000)))
    {
        const auto remote = make_hybrid_time(wall_ms ^ 77, 9);
        const hybrid_time next = receive_hybrid_time(last, remote, wall_ms);
        RC_ASSERT(next > last);
        last = next;
    }
}

TEST(event_ring, is_bounded)
{
    event_ring ring;
    ring.capacity = 3;
    for (std::uint64_t time = 1; time <= 5; ++time)
    {
        add_event(ring, record_at(time, first_host));
    }
    {
        SCOPED_TRACE(
            "keeps the newest records and counts the overwritten ones");
        const auto [records, truncated] = select_events(ring, {});
        ASSERT_EQ(records.size(), 3U);
        EXPECT_EQ(records.front().time, make_hybrid_time(3));
        EXPECT_EQ(records.back().time, make_hybrid_time(5));
        EXPECT_EQ(ring.overwritten, 2U);
        EXPECT_FALSE(truncated);
    }
    {
        SCOPED_TRACE("a reader continues after the last record of a page");
        event_query query;
        query.limit = 2;
        const auto first = select_events(ring, query);
        EXPECT_TRUE(first.truncated);
        query.since = first.records.back().time;
        const auto rest = select_events(ring, query);
        ASSERT_EQ(rest.records.size(), 1U);
        EXPECT_FALSE(rest.truncated);
    }
    {
        SCOPED_TRACE("a ring of capacity 0 stores nothing");
        event_ring none;
        add_event(none, record_at(1, first_host));
        EXPECT_TRUE(none.records.empty());
        EXPECT_EQ(none.overwritten, 1U);
    }
}

TEST(time_line, merge)
{
    const trace_id other_trace{3, 4};
    const std::vector<std::vector<event_record>> inputs{
        {record_at(1, first_host), record_at(4, first_host)},
        {record_at(2, second_host), record_at(3, second_host, other_trace),
         record_at(4, second_host)},
        {record_at(4, first_host)}};
    {
        SCOPED_TRACE("orders by time, then host, and removes duplicates");
        const auto line = merge_time_line(inputs, {});
        std::vector<std::uint64_t> times;
        times.reserve(line.size());
        for (const auto& record : line)
        {
            times.push_back(wall_ms_of(record.time));
        }
        EXPECT_EQ(times, (std::vector<std::uint64_t>{1, 2, 3, 4, 4}));
        EXPECT_EQ(line[3].host, first_host);
        EXPECT_EQ(line[4].host, second_host);
    }
    {
        SCOPED_TRACE("filters by trace, workspace and interval");
        event_query query;
        query.trace = other_trace;
        EXPECT_EQ(merge_time_line(inputs, query).size(), 1U);
        query = {};
        query.workspace = workspace_id_of("museum");
        EXPECT_TRUE(merge_time_line(inputs, query).empty());
        query = {};
        query.since = make_hybrid_time(1);
        query.until = make_hybrid_time(3);
        EXPECT_EQ(merge_time_line(inputs, query).size(), 2U);
    }
}

TEST(event_json, page)
{
    event_page page;
    page.host = first_host;
    page.name = "brno-1";
    page.overwritten = 7;
    page.truncated = true;
    page.records = {record_at(1'700'000'000'000, first_host)};
    page.records[0].what.peer = second_host;
    {
        SCOPED_TRACE("parsing returns what was written");
        const auto [read, found] = read_event_page(write_event_page(page));
        ASSERT_TRUE(found.empty()) << to_string(found);
        EXPECT_EQ(read.name, "brno-1");
        EXPECT_EQ(read.overwritten, 7U);
        EXPECT_TRUE(read.truncated);
        ASSERT_EQ(read.records.size(), 1U);
        EXPECT_EQ(to_json(read.records[0]), to_json(page.records[0]));
        EXPECT_EQ(read.records[0].what.peer, second_host);
    }
    {
        SCOPED_TRACE("a malformed page has findings");
        for (const char* text :
             {"", "[]", "{}", R"({"events":[1]})",
              R"({"events":[{"hlc":"x","host":"y","kind":"z"}]})",
              R"({"host":7,"events":[]})", R"({"events":[]})"})
        {
            SCOPED_TRACE(text);
            EXPECT_FALSE(read_event_page(text).found.empty());
        }
    }
}

TEST(event_json, query)
{
    event_query query;
    query.since = make_hybrid_time(5);
    query.until = make_hybrid_time(9);
    query.trace = some_trace;
    query.workspace = workspace_id_of("Škola a&b");
    query.limit = 50;
    {
        SCOPED_TRACE("parsing returns what was written");
        const auto [read, found] =
            read_event_query(write_event_query(query, "Škola a&b"));
        ASSERT_TRUE(found.empty()) << to_string(found);
        EXPECT_EQ(read.since, query.since);
        EXPECT_EQ(read.until, query.until);
        EXPECT_EQ(read.trace, query.trace);
        EXPECT_EQ(read.workspace, query.workspace);
        EXPECT_EQ(read.limit, 50U);
    }
    {
        SCOPED_TRACE("a target without parameters gives the default query");
        EXPECT_TRUE(read_event_query("/v1/events").found.empty());
        EXPECT_TRUE(read_event_query("/v1/events?").found.empty());
    }
    {
        SCOPED_TRACE("reports all findings together");
        const auto [read, found] = read_event_query(
            "/v1/events?limit=0&trace=1&colour=red&workspace=%4&since_hlc");
        EXPECT_EQ(found.size(), 5U);
    }
}

} // namespace
} // namespace cyclamenhold
