#include "core/configuration/chain.hpp"

#include "core/configuration/chain_apply.hpp"
#include "support/fake_fleet.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

const std::vector<std::string> three_data_centres{"brno", "olomouc", "zlin"};

std::string put_workspace(const std::string& name)
{
    return R"({"operations":[{"op":"put-workspace","name":")" + name +
           R"(","rate":10,"burst":20}]})";
}

std::uint64_t revision_of(const fake_fleet& fleet, std::size_t place)
{
    return fleet.nodes[place].chain->current->revision;
}

void commit(
    fake_fleet& fleet, std::size_t place, commit_token token,
    std::uint64_t base, const std::string& id, const std::string& operations)
{
    act(fleet, place,
        [&](fleet_node& node, time_point now, random_source& random,
            control_actions& actions)
        {
            chain_commit(
                *node.chain, token, base, id, operations, now, random, actions);
        });
}

// Commits and waits for the result.
commit_result commit_and_wait(
    fake_fleet& fleet, std::size_t place, std::uint64_t base,
    const std::string& id, const std::string& operations)
{
    auto& results = fleet.nodes[place].chain->results;
    results.clear();
    commit(fleet, place, 1, base, id, operations);
    run_until_true(
        fleet, 20s,
        [&]
        {
            return !results.empty();
        });
    return results.empty() ? commit_result{} : results.front();
}

bool all_have(const fake_fleet& fleet, std::uint64_t revision)
{
    for (std::size_t place = 0; place < fleet.nodes.size(); ++place)
    {
        if (fleet.nodes[place].running && revision_of(fleet, place) != revision)
        {
            return false;
        }
    }
    return true;
}

void start_fleet(fake_fleet& fleet)
{
    add_nodes(fleet, three_data_centres, 12);
    ASSERT_TRUE(run_until_true(
        fleet, 20s,
        [&]
        {
            return is_converged(fleet);
        }));
    run_for(fleet, 5s);
}

TEST(configuration, a_change_is_in_force_everywhere_soon)
{
    fake_fleet fleet(1);
    start_fleet(fleet);
    const auto result =
        commit_and_wait(fleet, 3, 0, "op-1", put_workspace("a"));
    EXPECT_EQ(result.status, commit_status::committed);
    EXPECT_EQ(result.revision, 1U);
    EXPECT_TRUE(run_until_true(
        fleet, 3s,
        [&]
        {
            return all_have(fleet, 1);
        }));
    EXPECT_EQ(fleet.nodes[7].chain->current->workspaces.at(0).name, "a");
    {
        SCOPED_TRACE("from a base that has been overtaken it is refused");
        const auto refused =
            commit_and_wait(fleet, 5, 0, "op-2", put_workspace("b"));
        EXPECT_EQ(refused.status, commit_status::conflict);
        EXPECT_EQ(refused.detail, "revision 1: put-workspace a");
    }
    {
        SCOPED_TRACE("asking again is harmless, at any node");
        const auto again =
            commit_and_wait(fleet, 8, 0, "op-1", put_workspace("a"));
        EXPECT_EQ(again.status, commit_status::committed);
        EXPECT_EQ(again.revision, 1U);
    }
    {
        SCOPED_TRACE("what does not fit is refused");
        const auto invalid = commit_and_wait(
            fleet, 5, 1, "op-3",
            R"({"operations":[{"op":"remove-workspace","name":"x"}]})");
        EXPECT_EQ(invalid.status, commit_status::invalid);
    }
}

TEST(configuration, racing_operators)
{
    fake_fleet fleet(2);
    start_fleet(fleet);
    for (std::uint64_t base = 0; base < 5; ++base)
    {
        const std::string name = "w" + std::to_string(base);
        commit(fleet, 0, 1, base, "left-" + name, put_workspace(name));
        commit(fleet, 1, 1, base, "right-" + name, put_workspace(name));
        run_for(fleet, 2s);
        const auto& left = fleet.nodes[0].chain->results.back();
        const auto& right = fleet.nodes[1].chain->results.back();
        EXPECT_NE(left.status, right.status);
        const auto& loser =
            left.status == commit_status::committed ? right : left;
        EXPECT_EQ(loser.status, commit_status::conflict);
        EXPECT_NE(loser.detail.find(name), std::string::npos);
        EXPECT_TRUE(all_have(fleet, base + 1));
    }
}

TEST(configuration, lost_answers_are_settled)
{
    fake_fleet fleet(3);
    start_fleet(fleet);
    {
        SCOPED_TRACE("a write that took effect counts as such");
        fleet.platform.faults.lose_next_answers = 1;
        const auto result =
            commit_and_wait(fleet, 0, 0, "op-1", put_workspace("a"));
        EXPECT_EQ(result.status, commit_status::committed);
        EXPECT_EQ(result.revision, 1U);
    }
    {
        SCOPED_TRACE("also when others went on from it before it was settled");
        run_for(fleet, 3s);
        fleet.platform.faults.lose_next_answers = 1;
        commit(fleet, 0, 1, 1, "op-2", put_workspace("b"));
        run_for(fleet, 1s);
        fleet.nodes[0].chain->results.clear();
        const auto other =
            commit_and_wait(fleet, 1, 2, "op-3", put_workspace("c"));
        EXPECT_EQ(other.status, commit_status::committed);
        ASSERT_TRUE(run_until_true(
            fleet, 10s,
            [&]
            {
                return !fleet.nodes[0].chain->results.empty();
            }));
        const auto& result = fleet.nodes[0].chain->results.front();
        EXPECT_EQ(result.status, commit_status::committed);
        EXPECT_EQ(result.revision, 2U);
    }
    {
        SCOPED_TRACE("a platform that is down leaves it unknown, and another "
                     "attempt settles it");
        fleet.platform.faults.down = true;
        EXPECT_EQ(
            commit_and_wait(fleet, 2, 3, "op-4", put_workspace("d")).status,
            commit_status::unknown);
        fleet.platform.faults.down = false;
        run_for(fleet, 5s);
        EXPECT_EQ(
            commit_and_wait(fleet, 4, 3, "op-4", put_workspace("d")).status,
            commit_status::committed);
    }
}

// Carries the commits' calls of one node to the store and back; all else is
// held up, so that nothing but the commit itself can settle it.
void carry_commit_calls(
    chain_state& state, key_value_store& store, time_point now,
    control_actions& actions)
{
    const membership_state members;
    random_source random(1);
    for (int round = 0; round < 10; ++round)
    {
        const auto calls = std::move(actions.platform_calls);
        actions.platform_calls.clear();
        for (const auto& call : calls)
        {
            if (call.client == platform_client::intent)
            {
                store_call(store, 1, call, now);
            }
        }
        for (const auto& answer : store_poll(store, now))
        {
            chain_on_platform_reply(
                state, members, answer.reply, now, random, actions);
        }
    }
}

TEST(configuration, a_commit_recognises_its_own_earlier_write)
{
    chain_state state;
    key_value_store store;
    control_actions actions;
    random_source random(1);
    const membership_state members;
    time_point now{100s};
    chain_start(state, {}, now, random, actions);
    store.faults.lose_next_answers = 1;
    chain_commit(state, 7, 0, "op-1", put_workspace("a"), now, random, actions);
    carry_commit_calls(state, store, now, actions);
    EXPECT_TRUE(state.results.empty());
    EXPECT_TRUE(store.values.contains(change_key(1)));
    for (int step = 0; step < 60 && state.results.empty(); ++step)
    {
        now += 100ms;
        chain_tick(state, members, now, random, actions);
        carry_commit_calls(state, store, now, actions);
    }
    ASSERT_EQ(state.results.size(), 1U);
    EXPECT_EQ(state.results.front().token, 7U);
    EXPECT_EQ(state.results.front().status, commit_status::committed);
    EXPECT_EQ(state.current->revision, 1U);
}

TEST(configuration, it_outlives_a_platform_outage)
{
    fake_fleet fleet(4);
    start_fleet(fleet);
    commit_and_wait(fleet, 0, 0, "op-1", put_workspace("a"));
    ASSERT_TRUE(run_until_true(
        fleet, 3s,
        [&]
        {
            return all_have(fleet, 1);
        }));
    fleet.platform.faults.down = true;
    {
        SCOPED_TRACE("all nodes are restarted one by one, without addresses");
        for (std::size_t place = 0; place < fleet.nodes.size(); ++place)
        {
            kill_node(fleet, place);
            start_node(fleet, place);
            EXPECT_TRUE(run_until_true(
                fleet, 20s,
                [&]
                {
                    return revision_of(fleet, place) == 1;
                }))
                << place;
            run_for(fleet, 5s);
        }
        EXPECT_TRUE(all_have(fleet, 1));
    }
    {
        SCOPED_TRACE("after it, changes go on, and the platform sees no herd");
        const auto before = store_call_count(fleet.platform);
        fleet.platform.faults.down = false;
        run_for(fleet, 15s);
        EXPECT_LT(store_call_count(fleet.platform) - before, 12U * 10);
        EXPECT_EQ(
            commit_and_wait(fleet, 9, 1, "op-2", put_workspace("b")).status,
            commit_status::committed);
        EXPECT_TRUE(run_until_true(
            fleet, 3s,
            [&]
            {
                return all_have(fleet, 2);
            }));
    }
}

TEST(configuration, a_cut_off_data_centre_catches_up)
{
    fake_fleet fleet(5);
    start_fleet(fleet);
    fleet.may_pass = [](const fleet_node& from, const fleet_node& to)
    {
        return (from.data_centre_name == "zlin") ==
               (to.data_centre_name == "zlin");
    };
    {
        SCOPED_TRACE("it reads the platform itself where it can");
        commit_and_wait(fleet, 0, 0, "op-1", put_workspace("a"));
        EXPECT_TRUE(run_until_true(
            fleet, 10s,
            [&]
            {
                return all_have(fleet, 1);
            }));
    }
    {
        SCOPED_TRACE("and goes on with what it has where it cannot");
        for (std::size_t place = 2; place < 12; place += 3)
        {
            cut_from_platform(fleet, place);
        }
        commit_and_wait(fleet, 0, 1, "op-2", put_workspace("b"));
        run_for(fleet, 60s);
        EXPECT_EQ(revision_of(fleet, 2), 1U);
        EXPECT_EQ(revision_of(fleet, 1), 2U);
    }
    {
        SCOPED_TRACE("once it is reached again it has all changes soon");
        fleet.may_pass = {};
        EXPECT_TRUE(run_until_true(
            fleet, 5s,
            [&]
            {
                return all_have(fleet, 2);
            }));
    }
}

TEST(configuration, snapshots_bound_the_replay)
{
    fake_fleet fleet(6);
    start_fleet(fleet);
    constexpr std::uint64_t count = 500;
    for (std::uint64_t base = 0; base < count; ++base)
    {
        const std::string name = "w" + std::to_string(base);
        ASSERT_EQ(
            commit_and_wait(fleet, base % 12, base, name, put_workspace(name))
                .status,
            commit_status::committed);
        run_for(fleet, 1s);
    }
    EXPECT_TRUE(run_until_true(
        fleet, 5s,
        [&]
        {
            return all_have(fleet, count);
        }));
    run_for(fleet, 120s);
    {
        SCOPED_TRACE("old changes are gone from the platform");
        EXPECT_LT(fleet.platform.values.size(), 450U);
        EXPECT_FALSE(fleet.platform.values.contains(change_key(1)));
    }
    {
        SCOPED_TRACE("a node alone with the platform gets all of it");
        const auto added = add_node(fleet, "lone");
        fleet.may_pass = [&](const fleet_node& from, const fleet_node& to)
        {
            return from.data_centre_name != "lone" &&
                   to.data_centre_name != "lone";
        };
        start_node(fleet, added);
        EXPECT_TRUE(run_until_true(
            fleet, 20s,
            [&]
            {
                return revision_of(fleet, added) == count;
            }));
        EXPECT_EQ(
            *fleet.nodes[added].chain->current, *fleet.nodes[0].chain->current);
    }
    {
        SCOPED_TRACE("a base whose successors are gone is still refused");
        const auto refused =
            commit_and_wait(fleet, 0, 1, "late", put_workspace("late"));
        EXPECT_EQ(refused.status, commit_status::conflict);
    }
}

TEST(configuration, what_cannot_be_read_is_not_applied)
{
    fake_fleet fleet(7);
    start_fleet(fleet);
    platform_call call;
    call.operation = platform_operation::compare_and_swap;
    call.key = change_key(1);
    call.value = to_value(
        chain_change{1, "op-1", 0, R"({"operations":[{"op":"fly"}]})"});
    store_call(fleet.platform, 1000, call, fleet.now);
    (void)store_poll(fleet.platform, fleet.now);
    run_for(fleet, 30s);
    EXPECT_TRUE(all_have(fleet, 0));
    std::size_t rejections = 0;
    for (const auto& node : fleet.nodes)
    {
        for (const auto& happened : node.events)
        {
            rejections +=
                happened.kind == event_kind::configuration_rejected ? 1 : 0;
        }
    }
    EXPECT_GE(rejections, 1U);
    EXPECT_LE(rejections, fleet.nodes.size());
}

TEST(configuration, a_fork_is_not_applied)
{
    chain_state state;
    control_actions actions;
    const chain_change first{1, "op-1", 0, put_workspace("a")};
    ASSERT_EQ(
        apply_change(state, first, time_point{1s}, actions),
        apply_result::applied);
    const chain_change fork{
        2, "op-2", hash_after(first) + 1, put_workspace("b")};
    EXPECT_EQ(
        apply_change(state, fork, time_point{1s}, actions),
        apply_result::rejected);
    const chain_change next{2, "op-2", hash_after(first), put_workspace("b")};
    const chain_change later{3, "op-3", hash_after(next), put_workspace("c")};
    EXPECT_EQ(
        apply_change(state, later, time_point{1s}, actions), apply_result::gap);
    EXPECT_EQ(
        apply_change(state, next, time_point{1s}, actions),
        apply_result::applied);
    EXPECT_EQ(
        apply_change(state, first, time_point{1s}, actions),
        apply_result::already_applied);
    EXPECT_EQ(state.current->revision, 2U);
}

TEST(configuration, bad_messages_are_reported_and_ignored)
{
    chain_state state;
    const membership_state members;
    control_actions actions;
    random_source random(1);
    chain_message message;
    message.kind = wire::configuration::message_body::snapshot_part;
    message.snapshot = {9, 9, 1};
    message.part = 1;
    for (const auto& bytes :
         {std::vector<std::uint8_t>(64, 0xff), std::vector<std::uint8_t>{},
          encode(message)})
    {
        actions = {};
        chain_on_message(
            state, members,
            {make_host_id(2, 2), message_kind::configuration, bytes},
            time_point{1s}, random, actions);
        ASSERT_EQ(actions.events.size(), 1U);
        EXPECT_EQ(actions.events.front().kind, event_kind::bad_input);
    }
    {
        SCOPED_TRACE("so is a snapshot that nobody asked for");
        message.part = 0;
        message.bytes = "{}";
        const auto bytes = encode(message);
        chain_on_message(
            state, members,
            {make_host_id(2, 2), message_kind::configuration, bytes},
            time_point{1s}, random, actions);
        EXPECT_EQ(state.current->revision, 0U);
        EXPECT_FALSE(state.peer_snapshot.has_value());
    }
}

} // namespace
} // namespace cyclamenhold
