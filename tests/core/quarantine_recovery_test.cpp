// Nodes that have not received the reports of crashes: after a start, after a
// cut, and after a loss of all nodes.
#include "core/node/control.hpp"
#include "core/quarantine/quarantine_messages.hpp"

#include <gtest/gtest.h>

#include "support/quarantine_fleet.hpp"

namespace cyclamenhold
{
namespace
{

using testing_support::quarantine_fleet;
using testing_support::quarantine_host;

constexpr std::uint64_t crashing = 7;

void quarantine_by_crashes(quarantine_fleet& fleet)
{
    fleet.crash(0, 1, {crashing, 30});
    fleet.crash(1, 1, {crashing, 31});
    fleet.crash(2, 1, {crashing, 32});
}

// The time until each of the nodes has quarantined the request.
duration time_until_all_know(quarantine_fleet& fleet, std::size_t nodes)
{
    const time_point start = fleet.now;
    while (fleet.count_knowing(crashing) < nodes && fleet.now - start < 60s)
    {
        fleet.run_for(10ms);
    }
    return fleet.now - start;
}

// A node that had been killed or stopped knew no quarantine when it started
// again, and its gate ran a request that crashes upstreams (BUDGET).
TEST(quarantine_recovery, a_node_that_starts_knows_the_quarantined_requests)
{
    for (const bool is_store_down : {false, true})
    {
        SCOPED_TRACE(is_store_down ? "from members" : "with the store");
        quarantine_fleet fleet(8);
        quarantine_by_crashes(fleet);
        ASSERT_EQ(fleet.count_knowing(crashing), 8U);
        fleet.store.faults.down = is_store_down;
        fleet.run_for(5s);
        for (std::size_t node = 0; node < 8; ++node)
        {
            fleet.kill(node);
            fleet.run_for(1s);
            fleet.start(node);
            EXPECT_FALSE(is_quarantine_known(*fleet.nodes[node].state));
            fleet.run_for(100ms);
            EXPECT_TRUE(is_quarantine_known(*fleet.nodes[node].state));
            EXPECT_TRUE(fleet.knows(node, crashing)) << node;
        }
    }
}

// A node that started counted only the crashes after its start, so that its
// own gate ran the request until it had crashed three more upstreams.
TEST(quarantine_recovery, a_node_that_starts_counts_the_earlier_crashes)
{
    quarantine_fleet fleet(4);
    fleet.crash(0, 1, {crashing});
    fleet.crash(1, 1, {crashing});
    fleet.kill(2);
    fleet.start(2);
    fleet.run_for(300ms);
    fleet.crash(2, 2, {crashing});
    EXPECT_EQ(fleet.count_knowing(crashing), 4U);
}

// After a loss of all nodes no node was left that had the quarantine.
TEST(quarantine_recovery, the_quarantine_outlasts_all_nodes)
{
    quarantine_fleet fleet(8);
    quarantine_by_crashes(fleet);
    fleet.run_for(100ms);
    for (std::size_t node = 0; node < 8; ++node)
    {
        fleet.kill(node);
    }
    fleet.run_for(3s);
    for (std::size_t node = 0; node < 8; ++node)
    {
        fleet.start(node);
    }
    fleet.run_for(100ms);
    EXPECT_EQ(fleet.count_knowing(crashing), 8U);
    {
        SCOPED_TRACE("it still ends at its time");
        fleet.run_for(290s);
        EXPECT_EQ(fleet.count_knowing(crashing), 8U);
        fleet.run_for(20s);
        EXPECT_EQ(fleet.count_knowing(crashing), 0U);
        EXPECT_TRUE(fleet.store.values.empty());
    }
}

// A node that was cut off while requests were quarantined received no later
// report of them.
TEST(quarantine_recovery, a_node_that_was_cut_off_catches_up)
{
    quarantine_fleet fleet(8);
    const auto cut = [&](bool is_cut)
    {
        fleet.is_connected = [is_cut](std::size_t left, std::size_t right)
        {
            return !is_cut || (left == 7) == (right == 7);
        };
        fleet.update_members();
    };
    {
        SCOPED_TRACE("by the store while the cut lasts");
        cut(true);
        quarantine_by_crashes(fleet);
        EXPECT_FALSE(fleet.knows(7, crashing));
        EXPECT_LE(time_until_all_know(fleet, 8), 1s);
    }
    {
        SCOPED_TRACE("by members as soon as it reaches them again");
        fleet.store.faults.down = true;
        fleet.kill(7);
        fleet.start(7);
        fleet.run_for(5s);
        EXPECT_FALSE(fleet.knows(7, crashing));
        cut(false);
        EXPECT_LE(time_until_all_know(fleet, 8), 1s);
    }
}

// A node that reported a crash before it had found its members, or while it was
// cut off from them, was the only one to count that crash.
TEST(quarantine_recovery, reports_are_repeated_to_members_that_return)
{
    quarantine_fleet fleet(4);
    bool is_cut = true;
    fleet.is_connected = [&is_cut](std::size_t left, std::size_t right)
    {
        return !is_cut || (left == 0) == (right == 0);
    };
    fleet.update_members();
    fleet.crash(0, 1, {crashing});
    fleet.run_for(1s);
    is_cut = false;
    fleet.update_members();
    fleet.run_for(1s);
    fleet.crash(1, 1, {crashing});
    fleet.crash(2, 1, {crashing});
    EXPECT_EQ(fleet.count_knowing(crashing), 4U);
}

// Each repeated report and each copy of a suspect would start its time again,
// so that a request with few crashes would stay a suspect while nodes restart.
TEST(quarantine_recovery, repeated_reports_and_copies_do_not_extend_a_suspicion)
{
    quarantine_fleet fleet(4);
    fleet.crash(0, 1, {crashing});
    for (int restart = 0; restart < 12; ++restart)
    {
        fleet.kill(2);
        fleet.run_for(1s);
        fleet.start(2);
        fleet.run_for(4500ms);
        EXPECT_EQ(restart < 10, !fleet.nodes[2].state->suspects.empty())
            << restart;
    }
    for (const auto& node : fleet.nodes)
    {
        EXPECT_TRUE(node.state->suspects.empty());
    }
}

TEST(quarantine_recovery, the_record_keeps_within_the_rates_of_the_store)
{
    quarantine_fleet fleet(40);
    {
        SCOPED_TRACE("nothing is written without a quarantined request");
        fleet.crash(0, 1, {crashing});
        fleet.run_for(60s);
        EXPECT_EQ(fleet.calls_of(platform_operation::lease_grant), 0U);
        EXPECT_EQ(fleet.calls_of(platform_operation::compare_and_swap), 0U);
        EXPECT_EQ(fleet.calls_of(platform_operation::list), 40U);
        // One watch of each node in 20 s.
        EXPECT_LE(fleet.calls_of(platform_operation::watch), 40U * 4);
    }
    {
        SCOPED_TRACE("only the nodes that reported crashes record a request");
        quarantine_by_crashes(fleet);
        fleet.run_for(20s);
        EXPECT_EQ(fleet.store.values.size(), 1U);
        EXPECT_LE(fleet.calls_of(platform_operation::lease_grant), 3U);
        EXPECT_LE(fleet.calls_of(platform_operation::compare_and_swap), 3U);
    }
    {
        SCOPED_TRACE("nodes that start only read");
        for (std::size_t node = 0; node < 40; ++node)
        {
            fleet.kill(node);
            fleet.start(node);
        }
        fleet.run_for(20s);
        EXPECT_EQ(fleet.count_knowing(crashing), 40U);
        EXPECT_LE(fleet.calls_of(platform_operation::lease_grant), 3U);
        EXPECT_EQ(fleet.calls_of(platform_operation::list), 80U);
    }
}

TEST(quarantine_recovery, another_node_records_what_the_reporters_did_not)
{
    quarantine_fleet fleet(8);
    {
        SCOPED_TRACE("the reporters end before the store answers");
        fleet.store.faults.down = true;
        quarantine_by_crashes(fleet);
        for (std::size_t node = 0; node < 3; ++node)
        {
            fleet.kill(node);
        }
        fleet.run_for(5s);
        EXPECT_TRUE(fleet.store.values.empty());
        fleet.store.faults.down = false;
        fleet.run_for(10s);
        EXPECT_EQ(fleet.store.values.size(), 1U);
    }
    {
        SCOPED_TRACE(
            "its lease has ended early, and watches report the removal");
        store_expire_all_leases(fleet.store, fleet.now);
        ASSERT_TRUE(fleet.store.values.empty());
        for (std::size_t node = 3; node < 8; ++node)
        {
            fleet.report_removal(node, "quarantine/0000000000000007");
        }
        fleet.run_for(10s);
        EXPECT_EQ(fleet.store.values.size(), 1U);
    }
}

// Another writer left entries that are not a node's.
TEST(quarantine_recovery, odd_entries_of_the_record_are_skipped)
{
    quarantine_fleet fleet(2);
    const auto write = [&](const std::string& key, const std::string& value)
    {
        platform_call call;
        call.operation = platform_operation::compare_and_swap;
        call.key = key;
        call.value = value;
        store_call(fleet.store, 1'000'000, call, fleet.now);
    };
    write("quarantine/0000000000000007", "1700000100000");
    write("quarantine/0000000000000008", "99999999999999999999999999");
    write("quarantine/0000000000000009", "[[[[");
    write("quarantine/00000000000000zz", "1700000100000");
    write("quarantine/", "1700000100000");
    write("quarantine/000000000000000a", "18446744073709551615");
    fleet.run_for(2s);
    for (std::size_t node = 0; node < 2; ++node)
    {
        EXPECT_TRUE(fleet.knows(node, 7));
        EXPECT_FALSE(fleet.knows(node, 8));
        EXPECT_FALSE(fleet.knows(node, 9));
        ASSERT_TRUE(fleet.knows(node, 10));
        EXPECT_LE(
            fleet.nodes[node].state->quarantined.at(10) - fleet.now, 300s);
    }
}

TEST(quarantine_recovery, all_pages_of_the_record_are_read)
{
    quarantine_fleet fleet(1);
    for (int number = 0; number < 650; ++number)
    {
        platform_call call;
        call.operation = platform_operation::compare_and_swap;
        call.key =
            "quarantine/" + std::string(13, '0') + std::to_string(100 + number);
        call.value = std::to_string(fleet.wall_clock_ms + 200'000);
        store_call(fleet.store, 1'000'000, call, fleet.now);
    }
    fleet.run_for(100ms);
    fleet.kill(0);
    fleet.start(0);
    fleet.run_for(200ms);
    EXPECT_EQ(fleet.nodes[0].state->quarantined.size(), 650U);
}

TEST(quarantine_recovery, messages_of_tables_are_checked)
{
    quarantine_message copy;
    copy.kind = quarantine_message_kind::table_copy;
    copy.quarantined.push_back({7, 90s});
    copy.suspects.push_back({8, {{quarantine_host(1), 4}}, 30s});
    copy.is_complete = true;
    const auto read = decode_quarantine(encode_quarantine(copy));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->quarantined.size(), 1U);
    EXPECT_EQ(read->quarantined[0].remaining, 90s);
    ASSERT_EQ(read->suspects.size(), 1U);
    EXPECT_EQ(read->suspects[0].crashes, copy.suspects[0].crashes);
    EXPECT_EQ(read->suspects[0].remaining, 30s);
    EXPECT_TRUE(read->is_complete);
    {
        SCOPED_TRACE("a suspect with enough crashes for a quarantine");
        copy.suspects[0].crashes.resize(crashes_to_quarantine);
        EXPECT_FALSE(decode_quarantine(encode_quarantine(copy)));
    }
    {
        SCOPED_TRACE("more suspects than a node copies");
        copy.suspects.assign(max_copied_suspects + 1, {8, {}, 30s});
        EXPECT_FALSE(decode_quarantine(encode_quarantine(copy)));
    }
}

// A node ran requests between its start and the first answer about quarantined
// ones.
TEST(quarantine_recovery, a_node_serves_only_when_it_knows_the_quarantine)
{
    const time_point start{1000s};
    control_state control;
    EXPECT_FALSE(control_may_serve(control, start));
    configuration configured;
    configured.revision = 1;
    control.chain.current = std::make_shared<const configuration>(configured);
    EXPECT_FALSE(control_may_serve(control, start + 10s));
    {
        SCOPED_TRACE("it knows them");
        control.quarantine.record.has_read = true;
        EXPECT_TRUE(control_may_serve(control, start + 10s));
    }
    {
        SCOPED_TRACE("nobody answers: it serves without them after a while");
        control.quarantine.record.has_read = false;
        control.may_serve = false;
        EXPECT_FALSE(control_may_serve(control, start + 12s));
        EXPECT_TRUE(control_may_serve(control, start + 13s));
    }
}

} // namespace
} // namespace cyclamenhold
