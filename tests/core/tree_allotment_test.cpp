// Which part of the root requests is admitted, by what their trees take in the
// services below.
#include "core/trees/tree_allotment.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace cyclamenhold
{
namespace
{

const auto catalogue = service_id_of("catalogue");
const auto bidding = service_id_of("bidding");
const auto registry = service_id_of("registry");
const auto browse = route_id_of("browse");
const auto bid = route_id_of("bid");
const auto history = route_id_of("history");
const auto ledger = route_id_of("ledger");
const auto inspect = route_id_of("inspect");

const tree_key browse_low{browse, catalogue, priority_class::low};
const tree_key bid_high{bid, bidding, priority_class::high};
const tree_key history_low{history, registry, priority_class::low};

// A browse takes 0.1 s in the catalogue and makes two calls to the ledger, each
// of which makes four to the registry, one after the other, of 0.03 s. A bid
// makes two of these ledger calls as well.
tree_totals auction()
{
    tree_totals totals;
    totals.runs[{browse, catalogue}] = {100.0, 10.0, {{ledger, 200.0}}};
    totals.runs[{bid, bidding}] = {50.0, 7.0, {{ledger, 100.0}}};
    totals.runs[{ledger, bidding}] = {300.0, 45.0, {{inspect, 1200.0}}};
    totals.runs[{inspect, registry}] = {1200.0, 36.0, {}};
    totals.runs[{history, registry}] = {20.0, 8.0, {}};
    return totals;
}

// The slots that the admitted requests take in a service.
double slots_taken(
    const std::map<tree_key, double>& demand, const tree_costs& costs,
    const std::map<tree_key, tree_allotment>& allotments, service_id service)
{
    double slots = 0.0;
    for (const auto& [key, per_second] : demand)
    {
        const auto& cost = costs.at({key.route, key.service});
        const auto found = cost.find(service);
        slots += found == cost.end()
                     ? 0.0
                     : per_second * found->second * allotments.at(key).share;
    }
    return slots;
}

TEST(tree_costs, of_a_tree_with_calls_in_turn)
{
    const auto costs = costs_of(auction());
    {
        SCOPED_TRACE("every service below is in the cost of the root");
        const auto& cost = costs.at({browse, catalogue});
        EXPECT_NEAR(cost.at(catalogue), 0.1, 1e-9);
        EXPECT_NEAR(cost.at(bidding), 2 * 0.15, 1e-9);
        EXPECT_NEAR(cost.at(registry), 2 * 4 * 0.03, 1e-9);
    }
    {
        SCOPED_TRACE("a service that the root and a call use counts both");
        EXPECT_NEAR(costs.at({bid, bidding}).at(bidding), 0.14 + 0.3, 1e-9);
    }
    {
        SCOPED_TRACE("a route whose runs are not known costs nothing yet");
        EXPECT_FALSE(costs.contains({route_id_of("other"), catalogue}));
    }
}

// Settlements run beside the calls that make inspections, and some of those
// were counted for them: a full registry limited settlements as well.
TEST(tree_costs, calls_that_are_counted_for_the_wrong_route)
{
    auto totals = auction();
    const auto settle = route_id_of("settle");
    totals.runs[{settle, bidding}] = {100.0, 5.0, {{inspect, 20.0}}};
    EXPECT_FALSE(costs_of(totals).at({settle, bidding}).contains(registry));
}

TEST(tree_costs, of_a_route_with_two_services_and_of_one_that_calls_itself)
{
    tree_totals totals;
    totals.runs[{browse, catalogue}] = {90.0, 9.0, {{inspect, 90.0}}};
    totals.runs[{browse, bidding}] = {10.0, 2.0, {}};
    totals.runs[{inspect, registry}] = {90.0, 9.0, {{inspect, 45.0}}};
    totals.runs[{ledger, bidding}] = {10.0, 1.0, {{browse, 10.0}}};
    const auto costs = costs_of(totals);
    EXPECT_FALSE(costs.at({browse, bidding}).contains(registry));
    EXPECT_NEAR(costs.at({browse, catalogue}).at(registry), 0.1, 1e-9);
    {
        SCOPED_TRACE("a call of the route goes to either service");
        const auto& cost = costs.at({ledger, bidding});
        EXPECT_NEAR(cost.at(catalogue), 0.9 * 0.1, 1e-9);
        EXPECT_NEAR(cost.at(bidding), 0.1 + 0.1 * 0.2, 1e-9);
    }
}

// Each entry admitted by what it had seen fail, and runs in three services
// ended with errors because the smallest one was full.
TEST(tree_allotment, the_deepest_service_is_full)
{
    const auto costs = costs_of(auction());
    const std::map<service_id, double> capacity{
        {catalogue, 2000.0}, {bidding, 2000.0}, {registry, 200.0}};
    for (const double load : {1.0, 2.0, 5.0})
    {
        SCOPED_TRACE(load);
        const std::map<tree_key, double> demand{
            {browse_low, 600.0 * load},
            {bid_high, 200.0 * load},
            {history_low, 100.0 * load}};
        const auto allotted = allot_trees(demand, costs, capacity);
        const double taken = slots_taken(demand, costs, allotted, registry);
        EXPECT_LE(taken, 200.0 + 1e-6);
        EXPECT_GE(taken, std::min(200.0, 600.0 * 0.24) * 0.99);
        {
            SCOPED_TRACE("the important route is served first");
            EXPECT_GE(
                allotted.at(bid_high).share, allotted.at(browse_low).share);
        }
        {
            SCOPED_TRACE("those of one class alike, and none is starved");
            EXPECT_NEAR(
                allotted.at(browse_low).share, allotted.at(history_low).share,
                1e-6);
            const double mean =
                200.0 / ((600.0 * 0.24 + 200.0 * 0.24 + 100.0 * 0.4) * load);
            EXPECT_GE(
                allotted.at(browse_low).share, 0.25 * std::min(1.0, mean));
        }
    }
}

TEST(tree_allotment, routes_that_do_not_use_the_full_service_are_admitted)
{
    auto totals = auction();
    const auto map = route_id_of("map");
    const tree_key map_low{map, catalogue, priority_class::low};
    totals.runs[{map, catalogue}] = {10.0, 1.0, {}};
    const std::map<tree_key, double> demand{
        {browse_low, 6000.0}, {map_low, 100.0}};
    const auto allotted = allot_trees(
        demand, costs_of(totals),
        {{catalogue, 2000.0}, {bidding, 5000.0}, {registry, 200.0}});
    EXPECT_LT(allotted.at(browse_low).share, 0.2);
    EXPECT_EQ(allotted.at(map_low).share, 1.0);
}

TEST(tree_allotment, headroom_tells_how_far_the_traffic_may_grow)
{
    const auto costs = costs_of(auction());
    const std::map<tree_key, double> demand{{browse_low, 100.0}};
    {
        SCOPED_TRACE("up to the fullest service");
        const auto allotted = allot_trees(
            demand, costs,
            {{catalogue, 2000.0}, {bidding, 2000.0}, {registry, 48.0}});
        EXPECT_EQ(allotted.at(browse_low).share, 1.0);
        EXPECT_NEAR(allotted.at(browse_low).headroom, 2.0, 1e-6);
    }
    {
        SCOPED_TRACE("without limit if no capacity is known");
        const auto allotted = allot_trees(demand, costs, {});
        EXPECT_EQ(allotted.at(browse_low).share, 1.0);
        EXPECT_TRUE(std::isinf(allotted.at(browse_low).headroom));
    }
    {
        SCOPED_TRACE("nor if no cost is known");
        const auto allotted = allot_trees(demand, {}, {{registry, 1.0}});
        EXPECT_EQ(allotted.at(browse_low).share, 1.0);
    }
}

} // namespace
} // namespace cyclamenhold
