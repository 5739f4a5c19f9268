// How nodes learn of evacuations: from the store, with the document, and from
// each other.
#include "core/membership/membership_wire.hpp"
#include "support/document_fixture.hpp"
#include "support/virtual_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cyclamenhold
{
namespace
{

using ids = std::vector<data_centre_id>;

const std::string prefix = "op/evacuate/";
const auto graz = data_centre_id_of("graz");
const auto wien = data_centre_id_of("wien");

ids sorted(ids list)
{
    std::ranges::sort(list);
    return list;
}

struct evacuation_fixture : document_fixture
{
    evacuation_fixture()
    {
        state.settings.evacuation_prefix = prefix;
        state.settings.operator_prefix = "op/";
        state.settings.key = "op/config";
    }

    ids evacuated()
    {
        return evacuated_data_centres(state.evacuations, now);
    }

    // Answers the list of evacuations and the read of the document, as of these
    // revisions. Returns the watch that follows.
    platform_call start(std::vector<platform_entry> list, std::uint64_t era = 0)
    {
        auto call = *next_call();
        EXPECT_EQ(call.operation, platform_operation::list);
        EXPECT_EQ(call.key, prefix);
        answer(call, platform_status::ok, std::move(list), 40, era);
        call = *next_call();
        EXPECT_EQ(call.operation, platform_operation::get);
        EXPECT_EQ(call.key, "op/config");
        answer(
            call, platform_status::ok, {{"op/config", "version 7", 30}}, 44,
            era);
        return *next_call();
    }
};

// An evacuation that was written between the list and the read of the document
// must not be missed.
TEST(evacuations, are_watched_with_the_document)
{
    evacuation_fixture node;
    auto watch = node.start({{prefix + "graz", "", 35}});
    EXPECT_EQ(node.evacuated(), ids{graz});
    EXPECT_EQ(watch.operation, platform_operation::watch);
    EXPECT_EQ(watch.key, "op/");
    EXPECT_EQ(watch.expected_version, 40U);
    {
        SCOPED_TRACE("a second one, and a newer document in the same reply");
        node.answer(
            watch, platform_status::ok,
            {{prefix + "wien", "", 42}, {"op/config", "version 8", 45}}, 46);
        EXPECT_EQ(node.evacuated(), sorted({graz, wien}));
        EXPECT_EQ(node.chain.current->revision, 8U);
    }
    {
        SCOPED_TRACE("both end in one transaction");
        watch = *node.next_call();
        EXPECT_EQ(watch.expected_version, 46U);
        node.answer(
            watch, platform_status::ok,
            {{prefix + "wien", "", 47, true}, {prefix + "graz", "", 47, true}},
            47);
        EXPECT_EQ(node.evacuated(), ids{});
    }
    {
        SCOPED_TRACE("lost history makes the node list them again");
        node.answer(*node.next_call(), platform_status::history_lost);
        const auto call = *node.next_call();
        EXPECT_EQ(call.operation, platform_operation::list);
        node.answer(call, platform_status::ok, {{prefix + "wien", "", 50}}, 60);
        EXPECT_EQ(node.evacuated(), ids{wien});
    }
}

// The store comes back from a copy that lacks an evacuation: it must stay in
// force until the operators have written it again, or some time has passed.
TEST(evacuations, outlive_a_store_that_goes_back)
{
    evacuation_fixture node;
    auto watch = node.start({{prefix + "graz", "", 35}}, 1);
    {
        SCOPED_TRACE("the next era starts over");
        document_begin_era(node.state, 2, node.now);
        node.answer(
            watch, platform_status::ok, {{prefix + "wien", "", 41}}, 41, 1);
        EXPECT_EQ(node.evacuated(), ids{graz});
        const auto list = *node.next_call();
        EXPECT_EQ(list.operation, platform_operation::list);
        node.answer(list, platform_status::ok, {}, 20, 2);
        EXPECT_EQ(node.evacuated(), ids{graz});
    }
    {
        SCOPED_TRACE("it is written again and removed");
        auto call = *node.next_call();
        node.answer(
            call, platform_status::ok, {{"op/config", "version 7", 10}}, 21, 2);
        node.answer(
            *node.next_call(), platform_status::ok, {{prefix + "graz", "", 22}},
            22, 2);
        EXPECT_EQ(node.evacuated(), ids{graz});
        node.answer(
            *node.next_call(), platform_status::ok,
            {{prefix + "graz", "", 23, true}}, 23, 2);
        EXPECT_EQ(node.evacuated(), ids{});
    }
}

TEST(evacuations, of_an_earlier_era_end_after_some_time)
{
    evacuation_state state;
    const std::vector<platform_entry> entries{{prefix + "graz", "", 35}};
    const time_point start{100s};
    apply_evacuation_entries(state, prefix, entries, 1, 40, start);
    merge_evacuations(state, {2, 10, {}}, start);
    EXPECT_EQ(evacuated_data_centres(state, start), ids{graz});
    EXPECT_EQ(
        evacuated_data_centres(state, start + evacuation_retention), ids{});
}

// A node that follows others does not see the removal itself, only a list
// without the entry: it refused requests until the retention was over.
TEST(evacuations, of_an_earlier_era_end_with_a_list_that_drops_them)
{
    evacuation_state state;
    const time_point now{100s};
    merge_evacuations(state, {1, 40, {graz}}, now);
    merge_evacuations(state, {2, 10, {}}, now);
    merge_evacuations(state, {2, 12, {wien}}, now);
    EXPECT_EQ(evacuated_data_centres(state, now), sorted({graz, wien}));
    {
        SCOPED_TRACE("written again and removed");
        merge_evacuations(state, {2, 14, sorted({graz, wien})}, now);
        merge_evacuations(state, {2, 15, {wien}}, now);
        EXPECT_EQ(evacuated_data_centres(state, now), ids{wien});
    }
}

// A list that was longer than a message may contain made all messages of the
// members unreadable to each other.
TEST(evacuations, that_are_too_many_leave_the_messages_readable)
{
    evacuation_state state;
    const time_point now{100s};
    std::vector<platform_entry> entries;
    for (std::uint64_t i = 0; i < 500; ++i)
    {
        entries.push_back({prefix + std::to_string(i), "", i + 1});
    }
    const auto reads_back = [&state]
    {
        membership_message message;
        message.sender = {make_host_id(1, 1), 1, 0, graz, member_state::alive};
        message.evacuations = state.current;
        const auto read = decode_membership_message(encode(message));
        return read && read->evacuations == state.current;
    };
    EXPECT_TRUE(reads_back());
    apply_evacuation_changes(state, prefix, entries, 1, now);
    EXPECT_TRUE(reads_back());
    apply_evacuation_entries(state, prefix, entries, 1, 600, now);
    EXPECT_TRUE(reads_back());
}

// An evacuation that was written before the first document made the node read
// and watch in turn without a pause.
TEST(evacuations, before_the_first_document_are_watched_once)
{
    evacuation_fixture node;
    auto call = *node.next_call();
    ASSERT_EQ(call.operation, platform_operation::list);
    node.answer(call, platform_status::ok, {}, 40);
    call = *node.next_call();
    ASSERT_EQ(call.operation, platform_operation::get);
    node.answer(call, platform_status::not_found);
    call = *node.next_call();
    ASSERT_EQ(call.operation, platform_operation::watch);
    node.answer(call, platform_status::ok, {{prefix + "graz", "", 42}}, 42);
    EXPECT_EQ(node.evacuated(), ids{graz});
    call = *node.next_call();
    EXPECT_EQ(call.operation, platform_operation::watch);
    EXPECT_EQ(call.expected_version, 42U);
    node.answer(
        call, platform_status::ok, {{"op/config", "version 8", 45}}, 45);
    EXPECT_EQ(node.chain.current->revision, 8U);
}

TEST(evacuations, older_lists_change_nothing)
{
    evacuation_state state;
    const time_point now{100s};
    apply_evacuation_entries(
        state, prefix, std::vector<platform_entry>{{prefix + "graz", "", 35}},
        1, 40, now);
    merge_evacuations(state, {1, 39, {}}, now);
    merge_evacuations(state, {0, 90, {wien}}, now);
    apply_evacuation_changes(
        state, prefix,
        std::vector<platform_entry>{{prefix + "graz", "", 39, true}}, 1, now);
    EXPECT_EQ(evacuated_data_centres(state, now), ids{graz});
    {
        SCOPED_TRACE("nor do keys that name no data centre");
        apply_evacuation_changes(
            state, prefix,
            std::vector<platform_entry>{
                {prefix, "", 41}, {"op/evacuated/x", "", 42}},
            1, now);
        EXPECT_EQ(evacuated_data_centres(state, now), ids{graz});
    }
}

using testing_support::fleet_options;
using testing_support::virtual_fleet;
using testing_support::virtual_node;

std::size_t count_evacuating(const virtual_fleet& fleet)
{
    std::size_t count = 0;
    for (const auto& [host, node] : fleet.nodes)
    {
        count += node->up && node->control->evacuated == ids{graz} ? 1 : 0;
    }
    return count;
}

// Hosts that the store does not serve learn of an evacuation, and of its end,
// from the others.
TEST(evacuations, reach_hosts_without_the_store)
{
    fleet_options options;
    options.fixed_members = false;
    options.hosts_per_data_centre = 20;
    options.links.loss = 0.02;
    virtual_fleet fleet(options);
    fleet.start_all();
    fleet.run_for(10s);
    virtual_node& informed = *fleet.nodes.begin()->second;
    virtual_node& restarted = *fleet.nodes.rbegin()->second;
    const auto write = [&](std::uint64_t revision, ids list)
    {
        fleet.run_on_node(
            informed,
            [&](control_state& state, time_point now, random_source& random,
                control_actions& actions)
            {
                state.document.evacuations.current = {1, revision, list};
                control_tick(state, 1, now, random, actions);
            });
    };
    write(50, {graz});
    fleet.run_for(5s);
    EXPECT_EQ(count_evacuating(fleet), fleet.nodes.size());
    {
        SCOPED_TRACE("one that has just started");
        fleet.crash(restarted);
        fleet.start(restarted);
        fleet.run_for(2s);
        EXPECT_EQ(count_evacuating(fleet), fleet.nodes.size());
    }
    {
        SCOPED_TRACE("the end");
        write(51, {});
        fleet.run_for(5s);
        EXPECT_EQ(count_evacuating(fleet), 0U);
    }
}

} // namespace
} // namespace cyclamenhold
