// The platform's store returns from an older copy: revisions and leases are
// given out again, and what was written since the copy is gone.
#include "support/quarantine_fleet.hpp"
#include "support/virtual_fleet.hpp"

#include "core/node/control.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cyclamenhold
{
namespace
{

using testing_support::fleet_options;
using testing_support::quarantine_fleet;
using testing_support::virtual_fleet;

std::size_t count_entries(const key_value_store& store, std::string_view prefix)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        store.values,
        [prefix](const auto& item)
        {
            return item.first.starts_with(prefix);
        }));
}

fleet_options options_of_fleet()
{
    fleet_options options;
    options.fixed_members = false;
    return options;
}

// A node renewed a lease whose number another node had been given since, and
// its entry was missing for as long as that one lasted.
TEST(platform_era, entries_under_leases_are_written_again)
{
    virtual_fleet fleet(options_of_fleet());
    const store_copy empty = take_copy(fleet.platform);
    fleet.start_all();
    fleet.run_for(20s);
    const std::size_t entries = count_entries(fleet.platform, "seed/");
    ASSERT_GE(entries, 6U);
    store_go_back(fleet.platform, empty, fleet.now());
    // A stranger gets the first leases again.
    for (std::uint64_t id = 1; id <= 20; ++id)
    {
        platform_call grant;
        grant.operation = platform_operation::lease_grant;
        grant.lease_time = 600s;
        store_call(fleet.platform, 999, grant, fleet.now());
    }
    // The first reply of the new era is that of the next call of each node.
    fleet.run_for(25s);
    EXPECT_EQ(count_entries(fleet.platform, "seed/"), entries);
    for (const auto& [key, stored] : fleet.platform.values)
    {
        EXPECT_GT(stored.lease, 20U) << key;
    }
}

// The record of the quarantine was watched from a revision that the store gave
// out again, so that a change between was missed.
TEST(platform_era, the_record_of_the_quarantine_is_listed_and_written_again)
{
    constexpr std::uint64_t crashing = 7;
    constexpr std::uint64_t other = 8;
    quarantine_fleet fleet(6);
    const store_copy empty = take_copy(fleet.store);
    for (std::size_t node = 0; node < 3; ++node)
    {
        fleet.crash(node, 1, {crashing});
    }
    fleet.run_for(1s);
    ASSERT_EQ(count_entries(fleet.store, "quarantine/"), 1U);
    store_go_back(fleet.store, empty, fleet.now);
    ASSERT_EQ(count_entries(fleet.store, "quarantine/"), 0U);
    // Another writer records a request under the revision that the first had.
    platform_call write;
    write.operation = platform_operation::compare_and_swap;
    write.key = "quarantine/0000000000000008";
    write.value = std::to_string(fleet.wall_clock_ms + 200'000);
    store_call(fleet.store, 999, write, fleet.now);
    for (std::size_t node = 0; node < 6; ++node)
    {
        fleet.run_on(
            node,
            [&](auto& at, control_actions&)
            {
                quarantine_begin_era(*at.state, fleet.now, fleet.random);
            });
    }
    fleet.run_for(10s);
    EXPECT_EQ(count_entries(fleet.store, "quarantine/"), 2U);
    EXPECT_EQ(fleet.count_knowing(crashing), 6U);
    EXPECT_EQ(fleet.count_knowing(other), 6U);
}

// One node on its own: which replies count.
struct single_node
{
    single_node()
    {
        control_settings settings;
        settings.membership.self = make_host_id(0x0a000001, 1);
        settings.membership.data_centre = data_centre_id_of("dc");
        settings.document.key = "document";
        settings.document.read =
            [](std::string_view text,
               std::string_view) -> absl::StatusOr<configuration>
        {
            configuration read;
            read.revision = std::stoull(std::string(text));
            return read;
        };
        control_start(state, settings, limiter, 1, now, random, actions);
        tick();
    }

    void tick()
    {
        control_tick(state, 1, now, random, actions);
    }

    // The newest call that reads or watches the document.
    platform_call document_call()
    {
        const auto found = std::find_if(
            actions.platform_calls.rbegin(), actions.platform_calls.rend(),
            [](const platform_call& call)
            {
                return call.client == platform_client::configuration;
            });
        EXPECT_NE(found, actions.platform_calls.rend());
        return *found;
    }

    void answer(
        const platform_call& call, const std::string& document,
        std::uint64_t version, std::uint64_t era)
    {
        platform_reply reply;
        reply.client = call.client;
        reply.call_id = call.call_id;
        reply.entries = {{"document", document, version}};
        reply.revision = version;
        reply.era = era;
        control_on_platform_reply(state, reply, now, random, actions);
    }

    control_state state;
    rate_limiter limiter;
    time_point now{100s};
    random_source random{1};
    control_actions actions;
};

// A watch from a revision that was given out twice returned only later changes,
// and the version between was missed.
TEST(platform_era, the_document_is_read_anew)
{
    single_node node;
    node.answer(node.document_call(), "9", 50, 1);
    const platform_call watch = node.document_call();
    EXPECT_EQ(watch.operation, platform_operation::watch);
    {
        SCOPED_TRACE("the watch returns in the new era, with a later change");
        node.answer(watch, "12", 52, 2);
        EXPECT_EQ(node.state.chain.current->revision, 9U);
        node.tick();
        const platform_call read = node.document_call();
        EXPECT_EQ(read.operation, platform_operation::get);
        node.answer(read, "13", 53, 2);
        EXPECT_EQ(node.state.chain.current->revision, 13U);
    }
    {
        SCOPED_TRACE("an older version in the copy is not applied");
        const platform_call next = node.document_call();
        node.answer(next, "7", 20, 3);
        node.tick();
        node.answer(node.document_call(), "7", 20, 3);
        EXPECT_EQ(node.state.chain.current->revision, 13U);
    }
    {
        SCOPED_TRACE("a reply of an earlier era says nothing");
        const platform_call next = node.document_call();
        node.answer(next, "20", 60, 2);
        EXPECT_EQ(node.state.chain.current->revision, 13U);
    }
    EXPECT_EQ(
        std::ranges::count(
            node.actions.events, event_kind::platform_rewound, &event::kind),
        2);
}

} // namespace
} // namespace cyclamenhold
