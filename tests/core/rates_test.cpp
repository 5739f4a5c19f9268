#include "support/virtual_fleet.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

namespace cyclamenhold
{
namespace
{

using namespace testing_support;

const workspace_id school = workspace_id_of("school");

// A fleet with one workspace, whose admissions an oracle checks against `rate`
// (requests a second) and `burst`.
std::unique_ptr<virtual_fleet>
make_fleet(const fleet_options& options, double rate, double burst)
{
    auto fleet = std::make_unique<virtual_fleet>(options);
    fleet->settings = std::make_shared<const configuration>(
        rates_configuration(options, rate, burst));
    fleet->oracles[school].rate = rate;
    fleet->oracles[school].burst = burst;
    return fleet;
}

// Offers `rate` requests a second at even intervals for `time`. Request n goes
// to the node `select_node(n)`. Runs one more second for the last ones.
template <class NodeSelector>
void offer_load(
    virtual_fleet& fleet, double rate, duration time, NodeSelector select_node)
{
    const time_point end = fleet.now() + time;
    std::uint64_t number = 0;
    while (fleet.now() < end)
    {
        fleet.offer(select_node(number++), school, 2s);
        fleet.run_for(from_seconds(1.0 / rate));
    }
    fleet.run_for(1s);
}

virtual_node& node_at(virtual_fleet& fleet, std::size_t index)
{
    auto entry = fleet.nodes.begin();
    std::advance(entry, index % fleet.nodes.size());
    return *entry->second;
}

double served_part(const rate_oracle& oracle)
{
    return static_cast<double>(oracle.admitted) /
           static_cast<double>(oracle.offered);
}

// Guards against refusals of demand within the rate when it comes in at few of
// the nodes, whose own weight covers only a part of it and who need loans for
// the rest, and against admissions beyond the rate under overload.
TEST(rates, even_and_skewed_demand_inside_the_rate)
{
    fleet_options options;
    const auto fleet = make_fleet(options, 120.0, 24.0);
    rate_oracle& oracle = fleet->oracles[school];
    fleet->start_all();
    {
        SCOPED_TRACE(
            "a new fleet admits requests within two seconds of its start");
        offer_load(
            *fleet, 50.0, 2s,
            [&fleet](std::uint64_t number) -> virtual_node&
            {
                return node_at(*fleet, number);
            });
        EXPECT_GT(oracle.admitted, 0U);
    }
    fleet->run_for(3s);
    struct demand_case
    {
        const char* name;
        std::function<std::size_t(std::uint64_t)> node;
    };
    const demand_case cases[] = {
        {"evenly over all nodes",
         [](std::uint64_t number)
         {
             return number;
         }},
        {"all at one node",
         [](std::uint64_t)
         {
             return std::size_t{5};
         }},
        {"all in one data centre",
         [](std::uint64_t number)
         {
             return number % 4;
         }},
    };
    for (const auto& [name, node] : cases)
    {
        SCOPED_TRACE(name);
        oracle.offered = oracle.admitted = oracle.refused = 0;
        offer_load(
            *fleet, 110.0, 10s,
            [&fleet, &node = node](std::uint64_t number) -> virtual_node&
            {
                return node_at(*fleet, node(number));
            });
        std::printf(
            "%s: offered %llu admitted %llu\n", name,
            static_cast<unsigned long long>(oracle.offered),
            static_cast<unsigned long long>(oracle.admitted));
        EXPECT_GT(served_part(oracle), 0.99);
    }
    {
        SCOPED_TRACE("at ten times the rate, the rate is admitted and no more");
        oracle.offered = oracle.admitted = oracle.refused = 0;
        offer_load(
            *fleet, 1200.0, 10s,
            [&fleet](std::uint64_t number) -> virtual_node&
            {
                return node_at(*fleet, number);
            });
        std::printf(
            "overload admitted %llu\n",
            static_cast<unsigned long long>(oracle.admitted));
        EXPECT_GT(static_cast<double>(oracle.admitted), 120.0 * 10.0 * 0.9);
    }
    EXPECT_LE(oracle.highest_excess, 1e-6);
}

// Guards against a fleet that admits less than its rate after a rolling restart
// without the platform. Each restarted node has lost the roster and can read it
// only from its peers.
TEST(rates, rolling_restart_while_the_platform_is_unreachable)
{
    fleet_options options;
    const auto fleet = make_fleet(options, 120.0, 24.0);
    fleet->start_all();
    fleet->run_for(5s);
    fleet->platform.faults.down = true;
    for (const auto& [host, node] : fleet->nodes)
    {
        fleet->crash(*node);
        fleet->start(*node);
        fleet->run_for(12s);
    }
    SCOPED_TRACE("the roster comes from peers and the whole rate is admitted");
    rate_oracle& oracle = fleet->oracles[school];
    offer_load(
        *fleet, 110.0, 10s,
        [&fleet](std::uint64_t number) -> virtual_node&
        {
            return node_at(*fleet, number);
        });
    EXPECT_GT(served_part(oracle), 0.99);
    EXPECT_LE(oracle.highest_excess, 1e-6);
}

// Guards against the loss of a failed host's weight: without a removal from the
// roster, the other hosts of its data centre never use that part of the rate.
TEST(rates, failed_host_is_removed_from_the_roster)
{
    fleet_options options;
    options.rates.removal_time = 20s;
    const auto fleet = make_fleet(options, 120.0, 24.0);
    fleet->start_all();
    fleet->run_for(30s);
    fleet->crash(node_at(*fleet, 1));
    fleet->run_for(60s);
    SCOPED_TRACE("the other hosts have removed it and use its weight");
    const auto& hosts = node_at(*fleet, 0).control->rates.hosts;
    EXPECT_EQ(hosts.known.members.size(), 3U);
    EXPECT_EQ(weight_parts(hosts, fleet->local_now(node_at(*fleet, 0))), 3U);
}

} // namespace
} // namespace cyclamenhold
