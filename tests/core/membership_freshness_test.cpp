// How members pass on when the platform was last read.
#include "support/fake_fleet.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

// The latest time at which a node can have read the platform, as one of its
// members reports it, on the clock of the fleet.
time_point reported_read_at(const fleet_node& node)
{
    return true_time(node, node.membership->platform_read_at);
}

// A node stood still while messages about the last reading of the platform
// waited in its socket. It then took them for new, and with its peers accepted
// keys that had been removed (CONFIG).
TEST(membership_freshness, a_message_that_waited_reports_no_later_reading)
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8})
    {
        SCOPED_TRACE(seed);
        fake_fleet fleet(seed);
        add_nodes(fleet, {"brno", "olomouc"}, 8);
        ASSERT_TRUE(run_until_true(
            fleet, 60s,
            [&]
            {
                return is_converged(fleet);
            }));
        run_for(fleet, 5s);
        for (std::size_t place = 0; place < fleet.nodes.size(); ++place)
        {
            cut_from_platform(fleet, place);
        }
        const time_point last_reading = fleet.now;
        {
            SCOPED_TRACE("pauses in turn, at both sides of a probe");
            for (int pause = 0; pause < 12; ++pause)
            {
                const auto place =
                    random_below(fleet.random, fleet.nodes.size());
                fleet.nodes[place].paused_until = fleet.now + 3500ms;
                run_for(fleet, 1s);
            }
            run_for(fleet, 5s);
        }
        for (const auto& node : fleet.nodes)
        {
            EXPECT_LE(reported_read_at(node), last_reading);
        }
    }
}

TEST(membership_freshness, a_node_without_the_platform_learns_of_readings)
{
    fake_fleet fleet(1);
    add_nodes(fleet, {"brno"}, 6);
    ASSERT_TRUE(run_until_true(
        fleet, 60s,
        [&]
        {
            return is_converged(fleet);
        }));
    cut_from_platform(fleet, 0);
    // How old the newest reading is at a node that reads the platform itself.
    duration oldest_reading{};
    duration oldest_report{};
    for (int round = 0; round < 600; ++round)
    {
        run_for(fleet, 100ms);
        const auto age = [&](std::size_t place)
        {
            return fleet.now - reported_read_at(fleet.nodes[place]);
        };
        oldest_reading = std::max(oldest_reading, age(1));
        oldest_report = std::max(oldest_report, age(0));
    }
    // One probe each 500 ms, and its way there and back.
    EXPECT_LE(oldest_report, oldest_reading + 600ms);
}

} // namespace
} // namespace cyclamenhold
