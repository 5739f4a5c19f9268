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
    run_on_node(
        fleet, place,
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

// A committed change must reach every node. A conflicting, repeated or invalid
// commit must not append another change.
TEST(configuration, changes_reach_all_nodes)
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
        SCOPED_TRACE("a commit on an outdated base conflicts");
        const auto refused =
            commit_and_wait(fleet, 5, 0, "op-2", put_workspace("b"));
        EXPECT_EQ(refused.status, commit_status::conflict);
        EXPECT_EQ(refused.detail, "revision 1: put-workspace a");
    }
    {
        SCOPED_TRACE("a repeated commit is idempotent at any node");
        const auto again =
            commit_and_wait(fleet, 8, 0, "op-1", put_workspace("a"));
        EXPECT_EQ(again.status, commit_status::committed);
        EXPECT_EQ(again.revision, 1U);
    }
    {
        SCOPED_TRACE("a commit that cannot be applied is invalid");
        const auto invalid = commit_and_wait(
            fleet, 5, 1, "op-3",
            R"({"operations":[{"op":"remove-workspace","name":"x"}]})");
        EXPECT_EQ(invalid.status, commit_status::invalid);
    }
}

// Of two concurrent commits on the same base, exactly one must succeed; if both
// did, one change would be lost.
TEST(configuration, concurrent_commits_conflict)
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

// The platform may execute a write and lose its reply. The commit must still
// end with the true result, and its change must not be written twice.
TEST(configuration, commits_survive_lost_replies)
{
    fake_fleet fleet(3);
    start_fleet(fleet);
    {
        SCOPED_TRACE("a write that took effect is committed");
        fleet.platform.faults.lose_next_answers = 1;
        const auto result =
            commit_and_wait(fleet, 0, 0, "op-1", put_workspace("a"));
        EXPECT_EQ(result.status, commit_status::committed);
        EXPECT_EQ(result.revision, 1U);
    }
    {
        SCOPED_TRACE("also if other commits follow before the result is found");
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
        SCOPED_TRACE("the result is unknown while the platform is down, and a "
                     "retry completes the commit");
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

// Executes only the calls of commits, so that the node receives the change in
// no other way.
void execute_commit_calls(
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

// After a lost reply the commit finds its revision taken. It must recognise its
// own change there and not report a conflict.
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
    execute_commit_calls(state, store, now, actions);
    EXPECT_TRUE(state.results.empty());
    EXPECT_TRUE(store.values.contains(change_key(1)));
    for (int step = 0; step < 60 && state.results.empty(); ++step)
    {
        now += 100ms;
        chain_tick(state, members, now, random, actions);
        execute_commit_calls(state, store, now, actions);
    }
    ASSERT_EQ(state.results.size(), 1U);
    EXPECT_EQ(state.results.front().token, 7U);
    EXPECT_EQ(state.results.front().status, commit_status::committed);
    EXPECT_EQ(state.current->revision, 1U);
}

// During a platform outage, restarted nodes must get the configuration from
// peers. After it, the nodes must not overload the platform with retries.
TEST(configuration, nodes_restart_during_a_platform_outage)
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
        SCOPED_TRACE("all nodes are restarted one by one");
        for (std::size_t place = 0; place < fleet.nodes.size(); ++place)
        {
            crash_node(fleet, place);
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
        SCOPED_TRACE("after the outage commits succeed, and the number of "
                     "platform calls is bounded");
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

// A data centre without links to the others must read changes from the platform
// itself. Without the platform too, it keeps its revision and catches up once
// the links are back.
TEST(configuration, a_partitioned_data_centre_catches_up)
{
    fake_fleet fleet(5);
    start_fleet(fleet);
    fleet.is_link_up = [](const fleet_node& from, const fleet_node& to)
    {
        return (from.data_centre_name == "zlin") ==
               (to.data_centre_name == "zlin");
    };
    {
        SCOPED_TRACE("it reads changes from the platform");
        commit_and_wait(fleet, 0, 0, "op-1", put_workspace("a"));
        EXPECT_TRUE(run_until_true(
            fleet, 10s,
            [&]
            {
                return all_have(fleet, 1);
            }));
    }
    {
        SCOPED_TRACE("it keeps its revision without the platform");
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
        SCOPED_TRACE("it catches up once the links are back");
        fleet.is_link_up = {};
        EXPECT_TRUE(run_until_true(
            fleet, 5s,
            [&]
            {
                return all_have(fleet, 2);
            }));
    }
}

// Without snapshots, the chain in the platform would grow without bound and a
// new node would have to read all of it.
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
        SCOPED_TRACE("old changes are deleted from the platform");
        EXPECT_LT(fleet.platform.values.size(), 450U);
        EXPECT_FALSE(fleet.platform.values.contains(change_key(1)));
    }
    {
        SCOPED_TRACE("a node that reaches only the platform gets the whole "
                     "configuration");
        const auto added = add_node(fleet, "lone");
        fleet.is_link_up = [&](const fleet_node& from, const fleet_node& to)
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
        SCOPED_TRACE("a commit conflicts also if the changes after its base "
                     "are deleted");
        const auto refused =
            commit_and_wait(fleet, 0, 1, "late", put_workspace("late"));
        EXPECT_EQ(refused.status, commit_status::conflict);
    }
}

// A malformed change in the platform must not be applied anywhere, and each
// node reports it at most once.
TEST(configuration, malformed_changes_are_rejected)
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

// A change whose hash does not match its predecessor comes from another chain.
// Applying it, or applying changes out of order, would make nodes diverge.
TEST(configuration, forks_and_gaps_are_not_applied)
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

// Malformed messages, and snapshots that were not pulled, must not change the
// state of a node.
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
        SCOPED_TRACE("a snapshot that was not pulled is ignored");
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
