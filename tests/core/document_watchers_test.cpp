// Fleets in which few nodes watch the document, and the others follow them. The
// load: the store is paid by the call, and all nodes need each version within
// two seconds.
#include "core/configuration/chain.hpp"
#include "core/configuration/document_watchers.hpp"
#include "support/document_fixture.hpp"
#include "support/virtual_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

namespace cyclamenhold
{
namespace
{

using testing_support::fleet_options;
using testing_support::virtual_fleet;
using testing_support::virtual_node;

constexpr duration bound_of_a_change = 2s;
// Keys are refused without a proof that is newer than this.
constexpr duration key_staleness = 4500ms;

struct document_fleet
{
    explicit document_fleet(std::uint32_t hosts_per_data_centre)
        : fleet(options_with(hosts_per_data_centre))
    {
        write(1);
        fleet.start_all();
        fleet.run_for(8s);
        EXPECT_EQ(count_with(1), fleet.nodes.size());
    }

    static fleet_options options_with(std::uint32_t hosts)
    {
        fleet_options options;
        options.fixed_members = false;
        options.hosts_per_data_centre = hosts;
        options.links.loss = 0.01;
        options.document.key = "document";
        options.document.read = &read_version;
        return options;
    }

    void write(std::uint64_t version)
    {
        platform_call call;
        call.operation = platform_operation::compare_and_swap;
        call.key = "document";
        call.value = "version " + std::to_string(version);
        const auto found = fleet.platform.values.find(call.key);
        call.expected_version =
            found == fleet.platform.values.end() ? 0 : found->second.version;
        store_call(fleet.platform, 999, call, fleet.now());
    }

    [[nodiscard]] std::size_t count_with(std::uint64_t version) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            fleet.nodes,
            [version](const auto& item)
            {
                const virtual_node& node = *item.second;
                return node.up &&
                       node.control->chain.current->revision == version;
            }));
    }

    [[nodiscard]] std::size_t count_up() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            fleet.nodes,
            [](const auto& item)
            {
                return item.second->up;
            }));
    }

    // The calls for the document that all nodes have made.
    [[nodiscard]] std::uint64_t document_calls() const
    {
        std::uint64_t calls = 0;
        for (const auto& [host, node] : fleet.nodes)
        {
            calls += node->control->document.last_call_id;
        }
        return calls;
    }

    // Writes a version and returns the time until all nodes have it.
    duration time_to_spread(std::uint64_t version)
    {
        write(version);
        const time_point start = fleet.now();
        while (count_with(version) < count_up() && fleet.now() - start < 20s)
        {
            run(10ms);
        }
        return fleet.now() - start;
    }

    // Runs in small steps and records the oldest proof of any node.
    void run(duration time)
    {
        for (const time_point end = fleet.now() + time; fleet.now() < end;)
        {
            fleet.run_for(std::min<duration>(10ms, end - fleet.now()));
            for (const auto& [host, node] : fleet.nodes)
            {
                if (node->up)
                {
                    oldest_proof = std::max(
                        oldest_proof, fleet.local_now(*node) -
                                          configuration_confirmed_at(
                                              node->control->chain,
                                              node->control->membership));
                }
            }
        }
    }

    [[nodiscard]] std::set<host_id> watchers() const
    {
        std::set<host_id> hosts;
        for (const auto& [host, node] : fleet.nodes)
        {
            if (node->up && node->control->document.watchers.is_watcher)
            {
                hosts.insert(host);
            }
        }
        return hosts;
    }

    virtual_fleet fleet;
    duration oldest_proof{};
};

// Every node watched: two calls a second and node, and each change woke all.
TEST(document_watchers, few_nodes_call_the_platform)
{
    document_fleet test(28);
    EXPECT_EQ(test.watchers().size(), 6U);
    const std::uint64_t before = store_call_count(test.fleet.platform);
    const time_point start = test.fleet.now();
    for (std::uint64_t version = 2; version <= 5; ++version)
    {
        EXPECT_LE(test.time_to_spread(version), 1s);
        test.run(5s);
    }
    const auto calls =
        static_cast<double>(store_call_count(test.fleet.platform) - before);
    EXPECT_LE(calls / to_seconds(test.fleet.now() - start), 25.0);
    EXPECT_LE(test.oldest_proof, 3s);
}

TEST(document_watchers, all_nodes_of_a_small_data_centre_watch)
{
    document_fleet test(4);
    EXPECT_EQ(test.watchers().size(), 12U);
    EXPECT_LE(test.time_to_spread(2), 500ms);
}

// A change right after the watchers of a data centre were lost.
TEST(document_watchers, watchers_that_are_lost)
{
    document_fleet test(28);
    for (const host_id host : test.watchers())
    {
        test.fleet.crash(*test.fleet.nodes.at(host));
    }
    EXPECT_LE(test.time_to_spread(2), bound_of_a_change);
    test.run(10s);
    EXPECT_LE(test.oldest_proof, key_staleness);
    {
        SCOPED_TRACE("others have taken their place");
        EXPECT_EQ(test.watchers().size(), 6U);
        EXPECT_LE(test.time_to_spread(3), 1s);
    }
}

// The watchers are up and answer pings, but the store does not serve them.
TEST(document_watchers, watchers_that_the_platform_does_not_serve)
{
    document_fleet test(28);
    const auto cut = test.watchers();
    test.fleet.platform_reachable = [cut](const virtual_node& node)
    {
        return !cut.contains(node.host);
    };
    test.run(3s);
    EXPECT_LE(test.time_to_spread(2), bound_of_a_change);
    test.run(5s);
    EXPECT_LE(test.oldest_proof, key_staleness);
}

// Followers lost their only source of changes.
TEST(document_watchers, followers_behind_a_cut)
{
    document_fleet test(28);
    const auto watching = test.watchers();
    test.fleet.network.is_link_up =
        [watching](const virtual_node& from, const virtual_node& to)
    {
        return watching.contains(from.host) == watching.contains(to.host);
    };
    EXPECT_LE(test.time_to_spread(2), bound_of_a_change);
    test.run(5s);
    EXPECT_LE(test.oldest_proof, key_staleness);
}

// All calls of the outage failed together, and seven eighths of the nodes
// called in the same quarter of a second after it.
TEST(document_watchers, followers_after_an_outage)
{
    document_fleet test(56);
    test.fleet.platform_reachable = [](const virtual_node&)
    {
        return false;
    };
    test.run(10s);
    test.fleet.platform_reachable = [](const virtual_node&)
    {
        return true;
    };
    test.write(2);
    std::uint64_t most = 0;
    const std::uint64_t start = test.document_calls();
    for (int i = 0; i < 10; ++i)
    {
        const std::uint64_t before = test.document_calls();
        test.run(250ms);
        most = std::max(most, test.document_calls() - before);
    }
    EXPECT_LE(most, 168U / 4U);
    EXPECT_LE(test.document_calls() - start, 168U);
    EXPECT_EQ(test.count_with(2), 168U);
    test.oldest_proof = {};
    test.run(3s);
    EXPECT_LE(test.oldest_proof, 2s);
}

TEST(document_watchers, a_node_that_starts)
{
    document_fleet test(28);
    virtual_node& node = *test.fleet.nodes.rbegin()->second;
    test.fleet.crash(node);
    test.run(1s);
    test.fleet.start(node);
    test.fleet.run_for(500ms);
    EXPECT_EQ(node.control->chain.current->revision, 1U);
    test.fleet.run_for(3s);
    EXPECT_LE(test.time_to_spread(2), 1s);
}

// One data centre without a network: answers to pings arrive at once, and a
// call of the platform takes no time.
struct proof_tree
{
    struct node
    {
        document_watchers watchers;
        chain_state chain;
        membership_state members;
        time_point next_watch{};
    };

    explicit proof_tree(std::uint32_t hosts)
    {
        const auto current = std::make_shared<configuration>();
        current->revision = 1;
        for (std::uint32_t i = 0; i < hosts; ++i)
        {
            const host_id self = make_host_id(0x0a000001 + i, 1);
            node& added = nodes[self];
            added.chain.current = current;
            added.chain.platform_read_at = now;
            added.members.settings.self = self;
            added.members.own_revision = 1;
            added.members.targets.version = 1;
            added.next_watch = now + from_seconds(
                                         to_seconds(watcher_watch_time) *
                                         random_fraction(random));
        }
        for (auto& [self, one] : nodes)
        {
            for (const auto& [other, ignored] : nodes)
            {
                if (other != self)
                {
                    one.members.targets.local.push_back(other);
                }
            }
        }
    }

    void step(node& one)
    {
        control_actions actions;
        exchange_proofs(one.watchers, one.members, now, random, actions);
        for (const auto& message : actions.messages)
        {
            if (message.to == one.watchers.parent)
            {
                one.members.platform_read_at = std::max(
                    one.members.platform_read_at,
                    nodes.at(message.to).members.platform_read_at);
                ++pings[message.to];
            }
        }
        record_proof(one.chain, one.members);
        if (one.watchers.is_watcher)
        {
            if (now >= one.next_watch)
            {
                one.next_watch = now + watcher_watch_time;
                one.chain.platform_read_at = now;
            }
        }
        else if (must_call_platform(
                     one.watchers, one.chain, one.members, {}, now))
        {
            one.chain.platform_read_at = now;
            ++calls_of_followers;
        }
        publish_to_membership(one.chain, one.members);
    }

    void run(duration time)
    {
        for (const time_point end = now + time; now < end; now += 20ms)
        {
            for (auto& [self, one] : nodes)
            {
                step(one);
            }
        }
    }

    std::map<host_id, node> nodes;
    std::map<host_id, int> pings;
    int calls_of_followers = 0;
    time_point now{100s};
    random_source random{9};
};

// In a tree of three levels a proof was often older than a node waits for one:
// followers called the platform more than a hundred times a second.
TEST(document_watchers, followers_of_a_data_centre_of_a_thousand_hosts)
{
    proof_tree tree(1037);
    tree.run(5s);
    tree.calls_of_followers = 0;
    tree.pings.clear();
    tree.run(10s);
    EXPECT_LE(tree.calls_of_followers / 10.0, 10.0);
    for (const auto& [host, pings] : tree.pings)
    {
        EXPECT_LE(pings / 10.0, 30.0);
    }
}

// The platform holds no document yet: each node read it ten times a second.
TEST(document_watchers, the_first_document_is_watched)
{
    document_fixture node;
    node.answer(*node.next_call(), platform_status::not_found);
    const auto list = *node.next_call();
    EXPECT_EQ(list.operation, platform_operation::list);
    node.answer(list, platform_status::ok, {}, 40);
    auto watch = *node.next_call();
    EXPECT_EQ(watch.operation, platform_operation::watch);
    EXPECT_EQ(watch.expected_version, 40U);
    {
        SCOPED_TRACE("a watch that ends without a change is repeated");
        node.answer(watch, platform_status::ok, {}, 41);
        watch = *node.next_call();
        EXPECT_EQ(watch.operation, platform_operation::watch);
        EXPECT_EQ(watch.expected_version, 41U);
    }
    {
        SCOPED_TRACE("the first version is applied");
        node.answer(
            watch, platform_status::ok, {{"document", "version 7", 42}}, 42);
        EXPECT_EQ(node.chain.current->revision, 7U);
        EXPECT_EQ(node.next_call()->operation, platform_operation::watch);
    }
}

// Nodes that start together on an empty store found each other after seconds.
TEST(document_watchers, nodes_that_start_together_meet_soon)
{
    auto options = document_fleet::options_with(28);
    options.has_seed_addresses = false;
    virtual_fleet fleet(options);
    fleet.start_all();
    const auto least_known = [&fleet]
    {
        std::size_t least = fleet.nodes.size();
        for (const auto& [host, node] : fleet.nodes)
        {
            least = std::min(least, node->control->membership.members.size());
        }
        return least;
    };
    fleet.run_for(1s);
    EXPECT_GE(least_known(), 1U);
    fleet.run_for(4s);
    EXPECT_GE(least_known(), 80U);
    EXPECT_LE(store_call_count(fleet.platform), 84U * 14U);
}

} // namespace
} // namespace cyclamenhold
