// Fleets whose deepest service is too small for the load: calls four in a row
// there, below three other services, as an auction has them.
#include "support/tree_fleet.hpp"

#include <gtest/gtest.h>

#include <array>

namespace cyclamenhold
{
namespace
{

using namespace testing_support;

enum route_place : std::size_t
{
    browse,
    bid,
    settle,
    history,
    ledger,
    status,
    inspect
};

// A fleet of about this many hosts. At load 1 the registry is used to seven
// tenths.
tree_deployment auction(std::size_t hosts, double load)
{
    tree_deployment deployment;
    const std::size_t part = hosts / 12;
    deployment.services = {
        {"catalogue", 5 * part, 40},
        {"bidding", 3 * part, 60},
        {"settlement", 2 * part, 80},
        {"registry", 2 * part, 24}};
    const auto registry_slots = static_cast<double>(2 * part * 24);
    // A browse makes eight inspections, a bid as many.
    constexpr double slots_of_a_browse = 8 * 0.03;
    const double unit = load * 0.7 * registry_slots / slots_of_a_browse / 10.0;
    deployment.routes = {
        {"browse", 0, 60ms, priority_class::low, {{ledger, 2}}, 6.0 * unit},
        {"bid", 1, 80ms, priority_class::high, {{status, 2}}, 2.0 * unit},
        {"settle", 2, 50ms, priority_class::high, {}, 1.5 * unit},
        {"history", 3, 240ms, priority_class::low, {}, 2.0 * unit},
        {"ledger", 1, 10ms, priority_class::critical, {{status, 1}}, 0.0},
        {"status", 2, 10ms, priority_class::critical, {{inspect, 4}}, 0.0},
        {"inspect", 3, 30ms, priority_class::critical, {}, 0.0}};
    return deployment;
}

double share_served(const tree_result& result, std::size_t route)
{
    const auto& counts = result.routes[route];
    const int ended = counts.served + counts.refused + counts.failed;
    return static_cast<double>(counts.served) / std::max(1, ended);
}

// The slots of the registry that the served requests took, by their work alone.
double registry_slots_used(const tree_result& result, duration time)
{
    return (8 * 0.03 * result.routes[browse].served +
            8 * 0.03 * result.routes[bid].served +
            0.24 * result.routes[history].served) /
           to_seconds(time);
}

double error_share(const tree_result& result)
{
    return static_cast<double>(result.runs_with_failed_calls) /
           std::max(1, result.runs);
}

void expect_trees_that_fit(std::size_t hosts, double load)
{
    SCOPED_TRACE(std::to_string(hosts) + " hosts");
    SCOPED_TRACE("load " + std::to_string(load));
    tree_fleet fleet(auction(hosts, 1.0));
    fleet.run(3s);
    fleet.deployment.routes = auction(hosts, load).routes;
    fleet.run(1s);
    constexpr duration time = 4s;
    const auto result = fleet.run(time);
    EXPECT_LE(error_share(result), 0.01);
    const auto& registry = fleet.deployment.services[3];
    const double slots = static_cast<double>(registry.hosts) * registry.slots;
    const double wanted = std::min(1.0, 0.7 * load) * slots;
    EXPECT_GE(registry_slots_used(result, time), 0.9 * wanted * 0.95);
    EXPECT_GE(share_served(result, bid), share_served(result, browse) - 0.01);
    EXPECT_GE(share_served(result, settle), 0.95);
}

// Each entry admitted by what it had seen fail itself, and a tenth of all runs
// in the services above a full one ended with errors.
TEST(tree_budget, whole_trees_fit)
{
    for (const std::size_t hosts : {12U, 60U, 100U})
    {
        for (const double load : {1.0, 2.0, 5.0})
        {
            expect_trees_that_fit(hosts, load);
        }
    }
}

// The same load without budgets: what they are for.
TEST(tree_budget, without_budgets_work_is_lost)
{
    tree_fleet fleet(auction(60, 1.0), false);
    fleet.run(3s);
    fleet.deployment.routes = auction(60, 2.0).routes;
    fleet.run(1s);
    EXPECT_GE(error_share(fleet.run(3s)), 0.01);
}

// In the first second of a burst only the traffic before it is known.
TEST(tree_budget, the_first_second_of_a_burst)
{
    std::array<double, 2> errors{};
    for (const bool has_budgets : {false, true})
    {
        tree_fleet fleet(auction(60, 1.0), has_budgets);
        fleet.run(3s);
        fleet.deployment.routes = auction(60, 3.0).routes;
        errors[has_budgets ? 1 : 0] = error_share(fleet.run(1s));
    }
    EXPECT_LE(errors[1], errors[0] / 2.0);
}

TEST(tree_budget, a_service_that_slows_down)
{
    tree_fleet fleet(auction(60, 1.2));
    fleet.run(3s);
    fleet.deployment.services[3].slow_factor = 2.0;
    fleet.run(2s);
    const auto result = fleet.run(4s);
    EXPECT_LE(error_share(result), 0.02);
    EXPECT_GE(share_served(result, bid), share_served(result, browse));
}

TEST(tree_budget, collectors_that_are_lost)
{
    tree_fleet fleet(auction(60, 2.0));
    fleet.run(4s);
    for (const auto& host : fleet.hosts)
    {
        host->is_up = host->is_up && host->id != host->trees.reports_to;
    }
    fleet.run(2s);
    const auto result = fleet.run(3s);
    EXPECT_LE(error_share(result), 0.02);
}

// Each side knows its own demand and slots only.
TEST(tree_budget, a_data_centre_whose_totals_are_cut_off)
{
    tree_fleet fleet(auction(60, 2.0));
    fleet.run(4s);
    const auto cut = fleet.hosts.front()->members.settings.data_centre;
    fleet.is_cut = [cut](const tree_host& from, const tree_host& to)
    {
        return (from.members.settings.data_centre == cut) !=
               (to.members.settings.data_centre == cut);
    };
    fleet.run(3s);
    const auto result = fleet.run(3s);
    EXPECT_LE(error_share(result), 0.03);
}

// A process that has just started admits as before until the first reply.
TEST(tree_budget, hosts_that_start)
{
    tree_fleet fleet(auction(60, 2.0));
    fleet.run(4s);
    for (std::size_t i = 0; i < fleet.hosts.size(); i += 3)
    {
        tree_host& host = *fleet.hosts[i];
        host.admission.rows.clear();
        host.trees = {};
        ++host.members.self_incarnation;
        trees_start(
            host.trees, {true, host.id, host.members.settings.data_centre},
            fleet.now, fleet.random);
    }
    fleet.run(1s);
    EXPECT_LE(error_share(fleet.run(3s)), 0.02);
}

} // namespace
} // namespace cyclamenhold
