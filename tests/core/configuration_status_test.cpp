#include "core/configuration/fleet_status.hpp"

#include "support/fake_fleet.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

fleet_status status_at(const fake_fleet& fleet, std::size_t place)
{
    const fleet_node& node = fleet.nodes[place];
    return make_fleet_status(
        *node.chain, *node.membership, local_time(node, fleet.now));
}

void commit_one(fake_fleet& fleet, std::size_t place)
{
    run_on_node(
        fleet, place,
        [](fleet_node& node, time_point now, random_source& random,
           control_actions& actions)
        {
            chain_commit(
                *node.chain, 1, node.chain->current->revision,
                "op-" + std::to_string(node.chain->current->revision),
                R"({"operations":[{"op":"put-workspace","name":"a",
                    "rate":1,"burst":1}]})",
                now, random, actions);
        });
}

// Operators use the status to see which data centres lack a revision. A data
// centre that is partitioned must not count as confirmed, and must itself show
// how old its configuration may be.
TEST(fleet_status, shows_unconfirmed_members_and_staleness)
{
    fake_fleet fleet(1);
    add_nodes(fleet, {"brno", "olomouc", "zlin"}, 12);
    ASSERT_TRUE(run_until_true(
        fleet, 20s,
        [&]
        {
            return is_converged(fleet);
        }));
    run_for(fleet, 20s);
    commit_one(fleet, 0);
    run_for(fleet, 30s);
    {
        SCOPED_TRACE("all have confirmed, and the platform was read recently");
        const auto status = status_at(fleet, 4);
        EXPECT_EQ(status.revision, 1U);
        ASSERT_EQ(status.data_centres.size(), 3U);
        for (const auto& entry : status.data_centres)
        {
            EXPECT_EQ(entry.alive, 4U);
            EXPECT_EQ(entry.confirmed, 4U);
            EXPECT_TRUE(entry.behind.empty());
            EXPECT_TRUE(entry.reachable);
        }
        ASSERT_TRUE(status.platform_read_ago.has_value());
        EXPECT_LT(*status.platform_read_ago, 15s);
    }
    {
        SCOPED_TRACE("a partitioned data centre shows its own staleness");
        fleet.is_link_up = [](const fleet_node& from, const fleet_node& to)
        {
            return (from.data_centre_name == "zlin") ==
                   (to.data_centre_name == "zlin");
        };
        for (std::size_t place = 2; place < 12; place += 3)
        {
            cut_from_platform(fleet, place);
        }
        run_for(fleet, 60s);
        commit_one(fleet, 0);
        run_for(fleet, 30s);
        const auto inside = status_at(fleet, 2);
        EXPECT_EQ(inside.revision, 1U);
        EXPECT_GT(*inside.platform_read_ago, 75s);
        EXPECT_FALSE(inside.data_centres.at(1).reachable);
        SCOPED_TRACE("the others show it as unconfirmed");
        const auto outside = status_at(fleet, 0);
        EXPECT_EQ(outside.revision, 2U);
        for (const auto& entry : outside.data_centres)
        {
            const bool is_cut = entry.data_centre == data_centre_id_of("zlin");
            EXPECT_EQ(entry.reachable, !is_cut);
            EXPECT_EQ(entry.confirmed, is_cut ? 0U : 4U);
            EXPECT_EQ(entry.unconfirmed, is_cut ? 4U : 0U);
        }
    }
}

} // namespace
} // namespace cyclamenhold
