#include "core/quarantine/quarantine.hpp"
#include "core/quarantine/recent_successes.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace cyclamenhold
{
namespace
{

const time_point start_time{1000s};

host_id host_number(std::uint16_t number)
{
    return make_host_id(0x0a000001, number);
}

// Nodes whose messages are delivered without delay or loss.
struct quarantine_fleet
{
    std::vector<quarantine_state> states;
    std::vector<membership_state> members;
    random_source random{3};
    std::deque<std::pair<host_id, outgoing_message>> messages;
    std::size_t events = 0;
};

void make_fleet(quarantine_fleet& fleet, std::uint16_t size)
{
    fleet.states.resize(size);
    fleet.members.resize(size);
    for (std::uint16_t i = 0; i < size; ++i)
    {
        quarantine_settings settings;
        settings.self = host_number(i + 1);
        quarantine_start(fleet.states[i], settings);
        for (std::uint16_t other = 0; other < size; ++other)
        {
            if (other != i)
            {
                member entry;
                entry.host = host_number(other + 1);
                fleet.members[i].members.emplace(entry.host, entry);
            }
        }
    }
}

void deliver(quarantine_fleet& fleet, std::size_t from, control_actions actions)
{
    const auto collect = [&](std::size_t sender, control_actions& done)
    {
        fleet.events += done.events.size();
        for (auto& message : done.messages)
        {
            fleet.messages.emplace_back(
                fleet.states[sender].settings.self, std::move(message));
        }
    };
    collect(from, actions);
    while (!fleet.messages.empty())
    {
        const auto [sender, message] = std::move(fleet.messages.front());
        fleet.messages.pop_front();
        const auto to = static_cast<std::size_t>(
            static_cast<std::uint64_t>(message.to) -
            static_cast<std::uint64_t>(host_number(1)));
        control_actions next;
        quarantine_on_message(
            fleet.states[to], fleet.members[to],
            {sender, message.kind, message.payload}, start_time, fleet.random,
            next);
        collect(to, next);
    }
}

void crash(
    quarantine_fleet& fleet, std::size_t node, std::uint64_t incarnation,
    const std::vector<std::uint64_t>& digests)
{
    control_actions actions;
    quarantine_on_crash(
        fleet.states[node], fleet.members[node],
        {fleet.states[node].settings.self, incarnation}, digests, start_time,
        fleet.random, actions);
    deliver(fleet, node, std::move(actions));
}

void succeed(quarantine_fleet& fleet, std::size_t node, std::uint64_t digest)
{
    control_actions actions;
    quarantine_on_success(
        fleet.states[node], fleet.members[node], digest, start_time,
        fleet.random, actions);
    deliver(fleet, node, std::move(actions));
}

bool is_quarantined_everywhere(
    const quarantine_fleet& fleet, std::uint64_t digest)
{
    return std::ranges::all_of(
        fleet.states,
        [digest](const quarantine_state& state)
        {
            return is_quarantined(build_quarantine_view(state), digest);
        });
}

TEST(quarantine, repeated_crashes)
{
    quarantine_fleet fleet;
    make_fleet(fleet, 16);
    crash(fleet, 0, 1, {7, 8, 9});
    {
        SCOPED_TRACE(
            "one crash makes suspects on all nodes and quarantines none");
        for (const auto& state : fleet.states)
        {
            EXPECT_TRUE(is_suspect(build_quarantine_view(state), 7));
            EXPECT_TRUE(state.quarantined.empty());
        }
    }
    {
        SCOPED_TRACE("a crash of one incarnation counts once");
        crash(fleet, 0, 1, {7});
        crash(fleet, 0, 1, {7, 8});
        crash(fleet, 5, 1, {7, 20, 21});
        EXPECT_FALSE(is_quarantined_everywhere(fleet, 7));
    }
    {
        SCOPED_TRACE("a request in flight in three crashes is quarantined on "
                     "all nodes");
        crash(fleet, 6, 1, {7, 22});
        EXPECT_TRUE(is_quarantined_everywhere(fleet, 7));
        EXPECT_EQ(fleet.events, 16U);
        EXPECT_EQ(fleet.states[3].quarantined.size(), 1U);
    }
    {
        SCOPED_TRACE("the quarantine expires");
        control_actions actions;
        const time_point expired = start_time + 301s;
        quarantine_tick(
            fleet.states[0], fleet.members[0], 0, expired, fleet.random,
            actions);
        EXPECT_TRUE(fleet.states[0].quarantined.empty());
        EXPECT_TRUE(fleet.states[0].suspects.empty());
        EXPECT_TRUE(fleet.states[0].reports.empty());
        EXPECT_GT(quarantine_due(fleet.states[0]), expired);
    }
}

// A request that crashed upstreams was not quarantined while other suspects
// were in flight in the same crashes, however many upstreams it ended (BUDGET).
TEST(quarantine, other_suspects_in_flight_do_not_hide_the_cause)
{
    quarantine_fleet fleet;
    make_fleet(fleet, 16);
    crash(fleet, 0, 1, {7, 30});
    crash(fleet, 1, 1, {7, 30, 31});
    crash(fleet, 2, 1, {7, 31, 32});
    EXPECT_TRUE(is_quarantined_everywhere(fleet, 7));
    for (const std::uint64_t innocent : {30, 31, 32})
    {
        EXPECT_FALSE(is_quarantined_everywhere(fleet, innocent)) << innocent;
    }
}

// A request that was in flight in two crashes with other causes was
// quarantined, and proper requests were refused for minutes (DENIED).
TEST(quarantine, requests_that_caused_no_crash)
{
    quarantine_fleet fleet;
    make_fleet(fleet, 4);
    {
        SCOPED_TRACE(
            "a suspect that ends without a crash is cleared on all nodes");
        crash(fleet, 0, 1, {7, 8});
        succeed(fleet, 1, 8);
        for (const auto& state : fleet.states)
        {
            EXPECT_FALSE(is_suspect(build_quarantine_view(state), 8));
        }
    }
    {
        SCOPED_TRACE("two crashes quarantine nothing, also if one request was "
                     "in flight in both");
        crash(fleet, 2, 1, {7, 30});
        EXPECT_FALSE(is_quarantined_everywhere(fleet, 7));
    }
    {
        SCOPED_TRACE("a success starts the count again");
        succeed(fleet, 0, 7);
        crash(fleet, 3, 1, {7, 40});
        crash(fleet, 0, 2, {7, 40});
        EXPECT_FALSE(is_quarantined_everywhere(fleet, 7));
        succeed(fleet, 2, 40);
        crash(fleet, 1, 2, {7, 40});
        EXPECT_TRUE(is_quarantined_everywhere(fleet, 7));
        EXPECT_FALSE(is_quarantined_everywhere(fleet, 40));
    }
}

// A request whose connection broke later than the others of a crash was in no
// report, since a crash was reported once.
TEST(quarantine, a_second_report_of_a_crash_adds_its_requests)
{
    quarantine_fleet fleet;
    make_fleet(fleet, 4);
    crash(fleet, 0, 1, {8, 9});
    crash(fleet, 0, 1, {7});
    for (const auto& state : fleet.states)
    {
        EXPECT_TRUE(is_suspect(build_quarantine_view(state), 7));
    }
}

TEST(quarantine, successes_are_remembered_for_a_short_time)
{
    recent_successes successes;
    record_success(successes, 7, start_time);
    EXPECT_TRUE(has_recent_success(successes, 7, start_time + 9s));
    EXPECT_FALSE(has_recent_success(successes, 7, start_time + 11s));
    EXPECT_FALSE(has_recent_success(successes, 8, start_time));
    EXPECT_FALSE(has_recent_success(successes, 0, start_time));
}

TEST(quarantine, tables_are_bounded_and_messages_checked)
{
    quarantine_fleet fleet;
    make_fleet(fleet, 2);
    fleet.states[0].settings.max_suspects = 10;
    for (std::uint64_t incarnation = 1; incarnation < 50; ++incarnation)
    {
        crash(fleet, 0, incarnation, {incarnation * 2, incarnation * 2 + 1});
    }
    EXPECT_LE(fleet.states[0].suspects.size(), 10U);
    EXPECT_LE(fleet.states[0].reports.size(), 10U);
    const std::vector<std::uint8_t> garbage(40, 0x5a);
    control_actions actions;
    quarantine_on_message(
        fleet.states[0], fleet.members[0],
        {host_number(2), message_kind::quarantine, garbage}, start_time,
        fleet.random, actions);
    ASSERT_EQ(actions.events.size(), 1U);
    EXPECT_EQ(actions.events[0].kind, event_kind::bad_input);
}

} // namespace
} // namespace cyclamenhold
