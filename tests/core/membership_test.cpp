#include "core/membership/membership.hpp"

#include "support/fake_fleet.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

const std::vector<std::string> three_data_centres{"brno", "olomouc", "zlin"};

upstream_record serving(const std::string& service)
{
    return {service, upstream_state::serving, 150, 1000, 0};
}

bool offers(
    const fake_fleet& fleet, std::size_t viewer, std::size_t subject,
    upstream_state wanted)
{
    for (const auto& location :
         membership_upstreams(*fleet.nodes[viewer].membership))
    {
        if (location.host == fleet.nodes[subject].host)
        {
            return location.record.state == wanted;
        }
    }
    return wanted == upstream_state::absent;
}

bool all_offer(
    const fake_fleet& fleet, std::size_t subject, upstream_state wanted)
{
    for (std::size_t viewer = 0; viewer < fleet.nodes.size(); ++viewer)
    {
        if (viewer != subject && fleet.nodes[viewer].running &&
            !offers(fleet, viewer, subject, wanted))
        {
            return false;
        }
    }
    return true;
}

TEST(membership, nodes_discover_each_other)
{
    fake_fleet fleet(1);
    {
        SCOPED_TRACE("members discover each other by entries in the platform");
        add_nodes(fleet, three_data_centres, 12);
        EXPECT_TRUE(run_until_true(
            fleet, 20s,
            [&]
            {
                return is_converged(fleet);
            }));
    }
    {
        SCOPED_TRACE("a few members of each data centre keep an entry");
        run_for(fleet, 60s);
        EXPECT_EQ(fleet.platform.values.size(), 9U);
    }
    {
        SCOPED_TRACE("a new node joins by a seed address of its settings");
        fleet.platform.faults.down = true;
        const auto added = add_node(fleet, "brno");
        fleet.nodes[added].settings.seeds = {fleet.nodes[1].host};
        start_node(fleet, added);
        EXPECT_TRUE(run_until_true(
            fleet, 5s,
            [&]
            {
                return is_converged(fleet);
            }));
    }
    {
        SCOPED_TRACE("a platform outage does not affect membership");
        run_for(fleet, 120s);
        EXPECT_TRUE(is_converged(fleet));
    }
}

TEST(membership, upstream_changes_propagate)
{
    fake_fleet fleet(2);
    add_nodes(fleet, three_data_centres, 12);
    ASSERT_TRUE(run_until_true(
        fleet, 20s,
        [&]
        {
            return is_converged(fleet);
        }));
    {
        SCOPED_TRACE("an announcement reaches all members");
        set_node_upstream(fleet, 0, serving("booking"));
        EXPECT_TRUE(run_until_true(
            fleet, 2s,
            [&]
            {
                return all_offer(fleet, 0, upstream_state::serving);
            }));
    }
    {
        SCOPED_TRACE("a drain reaches all members within 3 s at 5% loss");
        fleet.faults.loss = 0.05;
        auto record = serving("booking");
        record.state = upstream_state::draining;
        set_node_upstream(fleet, 0, record);
        EXPECT_TRUE(run_until_true(
            fleet, 3s,
            [&]
            {
                return all_offer(fleet, 0, upstream_state::draining);
            }));
    }
    {
        SCOPED_TRACE("the leave of its host reaches all members within 3 s");
        run_on_node(
            fleet, 0,
            [](fleet_node& node, time_point now, random_source& random,
               control_actions& actions)
            {
                membership_leave(*node.membership, now, random, actions);
            });
        EXPECT_TRUE(run_until_true(
            fleet, 3s,
            [&]
            {
                return all_offer(fleet, 0, upstream_state::absent);
            }));
        EXPECT_EQ(state_of(fleet, 1, 0), member_state::left);
    }
}

TEST(membership, host_failure_and_replacement)
{
    fake_fleet fleet(3);
    add_nodes(fleet, three_data_centres, 12);
    for (std::size_t place = 0; place < 12; ++place)
    {
        set_node_upstream(fleet, place, serving("booking"));
    }
    ASSERT_TRUE(run_until_true(
        fleet, 20s,
        [&]
        {
            return is_converged(fleet);
        }));
    {
        SCOPED_TRACE("a failed host is removed by all members within 10 s");
        crash_node(fleet, 4);
        EXPECT_TRUE(run_until_true(
            fleet, 10s,
            [&]
            {
                return is_converged(fleet);
            }));
    }
    {
        SCOPED_TRACE(
            "a replacement at the same address joins as a new incarnation");
        start_node(fleet, 4);
        EXPECT_TRUE(run_until_true(
            fleet, 10s,
            [&]
            {
                return is_converged(fleet);
            }));
    }
    {
        SCOPED_TRACE("a replacement joins also when its wall clock is behind");
        crash_node(fleet, 4);
        fleet.wall_clock_ms -= 1'000'000;
        start_node(fleet, 4);
        EXPECT_TRUE(run_until_true(
            fleet, 20s,
            [&]
            {
                return is_converged(fleet);
            }));
    }
    {
        SCOPED_TRACE("a paused host is removed and rejoins");
        fleet.nodes[5].paused_until = fleet.now + 30s;
        EXPECT_TRUE(run_until_true(
            fleet, 10s,
            [&]
            {
                return all_offer(fleet, 5, upstream_state::absent);
            }));
        run_for(fleet, 20s);
        EXPECT_TRUE(run_until_true(
            fleet, 20s,
            [&]
            {
                return is_converged(fleet);
            }));
        SCOPED_TRACE("the paused host declares no other member dead");
        for (const auto& happened : fleet.nodes[5].events)
        {
            EXPECT_FALSE(
                happened.kind == event_kind::member_removed &&
                happened.peer != fleet.nodes[4].host);
        }
    }
}

TEST(membership, data_centre_partition)
{
    fake_fleet fleet(4);
    add_nodes(fleet, three_data_centres, 12);
    for (std::size_t place = 0; place < 12; ++place)
    {
        set_node_upstream(fleet, place, serving("booking"));
    }
    ASSERT_TRUE(run_until_true(
        fleet, 20s,
        [&]
        {
            return is_converged(fleet);
        }));
    fleet.is_link_up = [](const fleet_node& from, const fleet_node& to)
    {
        return (from.data_centre_name == "brno") ==
               (to.data_centre_name == "brno");
    };
    {
        SCOPED_TRACE("upstreams of a cut-off data centre are excluded outside "
                     "within 10 s");
        EXPECT_TRUE(run_until_true(
            fleet, 10s,
            [&]
            {
                return offers(fleet, 1, 0, upstream_state::absent) &&
                       offers(fleet, 0, 1, upstream_state::absent);
            }));
        EXPECT_TRUE(offers(fleet, 0, 3, upstream_state::serving));
    }
    {
        SCOPED_TRACE("none of its hosts is declared dead");
        run_for(fleet, 120s);
        EXPECT_EQ(state_of(fleet, 1, 0), member_state::alive);
        EXPECT_EQ(state_of(fleet, 0, 1), member_state::alive);
    }
    {
        SCOPED_TRACE(
            "changes during the partition reach all members after it ends");
        crash_node(fleet, 3);
        set_node_upstream(
            fleet, 1, {"renewal", upstream_state::serving, 15, 200, 0});
        run_for(fleet, 30s);
        fleet.is_link_up = {};
        EXPECT_TRUE(run_until_true(
            fleet, 60s,
            [&]
            {
                return is_converged(fleet);
            }));
        EXPECT_TRUE(offers(fleet, 2, 0, upstream_state::serving));
    }
}

TEST(membership, partitions_inside_a_data_centre_heal)
{
    fake_fleet fleet(5);
    add_nodes(fleet, {"brno"}, 6);
    ASSERT_TRUE(run_until_true(
        fleet, 20s,
        [&]
        {
            return is_converged(fleet);
        }));
    {
        SCOPED_TRACE("one lost direction between two hosts has no effect on "
                     "the members");
        const host_id from = fleet.nodes[0].host;
        const host_id to = fleet.nodes[1].host;
        fleet.is_link_up = [=](const fleet_node& left, const fleet_node& right)
        {
            return left.host != from || right.host != to;
        };
        run_for(fleet, 120s);
        EXPECT_TRUE(is_converged(fleet));
    }
    {
        SCOPED_TRACE(
            "two partitioned halves declare each other dead and merge again");
        fleet.is_link_up = [&](const fleet_node& left, const fleet_node& right)
        {
            return (fleet.index.at(left.host) < 3) ==
                   (fleet.index.at(right.host) < 3);
        };
        run_for(fleet, 60s);
        EXPECT_EQ(state_of(fleet, 0, 5), member_state::dead);
        fleet.is_link_up = {};
        EXPECT_TRUE(run_until_true(
            fleet, 60s,
            [&]
            {
                return is_converged(fleet);
            }));
    }
}

// Guards against a starting node that never joins: without an answer to its
// first list call, the node sent no other one. Checks the chain's read
// likewise.
TEST(membership, unanswered_platform_call_times_out)
{
    membership_state members;
    chain_state chain;
    random_source random(1);
    control_actions actions;
    membership_settings settings;
    settings.self = make_host_id(1, 1);
    time_point now{100s};
    membership_start(members, settings, 5, now, random, actions);
    chain_start(chain, {settings.self, {}}, now, random, actions);
    std::size_t lists = 0;
    std::size_t reads = 0;
    for (int step = 0; step < 200; ++step)
    {
        now += 500ms;
        membership_tick(members, now, random, actions);
        chain_tick(chain, members, now, random, actions);
        for (const auto& call : actions.platform_calls)
        {
            lists += call.operation == platform_operation::list ? 1 : 0;
            reads += call.operation == platform_operation::get ? 1 : 0;
        }
        actions.platform_calls.clear();
    }
    EXPECT_GE(lists, 2U);
    EXPECT_GE(reads, 2U);
}

TEST(membership, bad_messages_are_reported_and_ignored)
{
    membership_state state;
    random_source random(1);
    control_actions actions;
    membership_settings settings;
    settings.self = make_host_id(1, 1);
    membership_start(state, settings, 5, time_point{1s}, random, actions);
    const std::vector<std::uint8_t> bytes(40, 0xff);
    membership_on_message(
        state,
        {make_host_id(2, 2), message_kind::membership,
         std::span(bytes).first(7)},
        time_point{1s}, random, actions);
    membership_on_message(
        state, {make_host_id(2, 2), message_kind::membership, bytes},
        time_point{1s}, random, actions);
    ASSERT_EQ(actions.events.size(), 2U);
    EXPECT_EQ(actions.events.front().kind, event_kind::bad_input);
    EXPECT_TRUE(state.members.empty());
}

} // namespace
} // namespace cyclamenhold
