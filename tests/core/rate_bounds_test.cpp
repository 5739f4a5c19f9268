// The bound of a rate while hosts start, change their roles, or are cut off
// from each other, at fleets of different sizes on a virtual clock. Windows
// include the time before each fault.
#include "support/sharing_fleet.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace cyclamenhold
{
namespace
{

constexpr double overage = 0.1;
constexpr double slack = 20.0;
// Deployments allow a workspace 1.6 times its usual demand.
constexpr double rate_to_demand = 1.6;
constexpr std::size_t data_centres = 5;

struct fleet_case
{
    std::size_t hosts = 0;
    double rate = 0.0;
};

// Small and large fleets; the rates are those of the smallest and the largest
// workspaces there.
constexpr std::array<fleet_case, 5> fleet_cases{
    {{12, 47.0}, {12, 206.0}, {30, 100.0}, {96, 17.0}, {96, 92.0}}};
constexpr std::array<fleet_case, 2> largest_cases{{{200, 30.0}, {300, 92.0}}};

// A fleet with one workspace whose callers use all hosts alike.
struct bounded_fleet
{
    explicit bounded_fleet(const fleet_case& size)
        : fleet(size.hosts, size.rate, size.rate, data_centres),
          usual(
              size.hosts,
              size.rate / rate_to_demand / static_cast<double>(size.hosts)),
          none(size.hosts, 0.0),
          allowed(
              (size.rate * to_seconds(rate_window) + size.rate) *
                  (1.0 + overage) +
              slack)
    {
        fleet.detects_in_turn = true;
        for (const auto& host : fleet.hosts)
        {
            host->rates.settings.window = rate_window;
            host->rates.settings.overage = overage;
            host->rates.settings.slack = slack;
            host->limiter.longest_wait = 200ms;
            host->limiter.has_loans = false;
        }
    }

    // The usual demand times `factor`.
    [[nodiscard]] std::vector<double> demand(double factor) const
    {
        std::vector<double> scaled = usual;
        for (double& value : scaled)
        {
            value *= factor;
        }
        return scaled;
    }

    // Each `1 / share`-th host, beginning with `first`.
    [[nodiscard]] std::vector<bool>
    part_of_hosts(double share, std::size_t first) const
    {
        std::vector<bool> chosen(usual.size(), false);
        double sum = 0.0;
        for (std::size_t i = 0; i < chosen.size(); ++i)
        {
            sum += share;
            if (sum >= 1.0)
            {
                sum -= 1.0;
                chosen[(i + first) % chosen.size()] = true;
            }
        }
        return chosen;
    }

    [[nodiscard]] std::vector<bool> first_data_centre() const
    {
        std::vector<bool> chosen(usual.size(), false);
        for (std::size_t i = 0; i < chosen.size(); i += data_centres)
        {
            chosen[i] = true;
        }
        return chosen;
    }

    sharing_fleet fleet;
    std::vector<double> usual;
    std::vector<double> none;
    // Most admissions in a window by the stated bound.
    double allowed = 0.0;
};

std::string name_of(const fleet_case& size)
{
    return std::to_string(size.hosts) + " hosts, " + std::to_string(size.rate) +
           " a second";
}

double admitted_fraction(const caller_counts& counts)
{
    return static_cast<double>(counts.admitted) /
           static_cast<double>(std::max(1, counts.offered));
}

void expect_bound_at_starts(const fleet_case& size)
{
    SCOPED_TRACE(name_of(size));
    bounded_fleet bounded(size);
    bounded.fleet.restart_all(800ms);
    {
        SCOPED_TRACE("demand rises after some seconds without callers");
        bounded.fleet.run_on(bounded.none, 9s);
        const auto counts = bounded.fleet.run_on(bounded.demand(6.0), 7s);
        EXPECT_LE(counts.max_in_window, bounded.allowed);
    }
    {
        SCOPED_TRACE("callers remain while all hosts start again");
        bounded.fleet.restart_all(800ms);
        const auto counts = bounded.fleet.run_on(bounded.demand(6.0), 7s);
        EXPECT_LE(counts.max_in_window, bounded.allowed);
    }
    {
        SCOPED_TRACE("usual demand is admitted six seconds after a start");
        bounded.fleet.restart_all(800ms);
        bounded.fleet.run_on(bounded.usual, 6s);
        const auto counts = bounded.fleet.run_on(bounded.usual, 6s);
        EXPECT_GE(admitted_fraction(counts), 0.95);
    }
}

// Guards against QUOTA on large fleets: each host that started alone earned a
// token before it knew a pool, kept it, and used it when demand rose.
TEST(rate_bounds, hosts_that_start_together_stay_within_the_bound)
{
    for (const auto& size : fleet_cases)
    {
        expect_bound_at_starts(size);
    }
    for (const auto& size : largest_cases)
    {
        expect_bound_at_starts(size);
    }
}

// Guards against QUOTA when hosts are cut off just after demand has risen: they
// and those that replaced them as holders of pools used the same share, and
// each side divided by the older demand of the other.
TEST(rate_bounds, hosts_cut_off_while_demand_rises_stay_within_the_bound)
{
    for (const auto& size : fleet_cases)
    {
        for (const duration delay : {300ms, 600ms, 1600ms})
        {
            SCOPED_TRACE(name_of(size));
            SCOPED_TRACE(to_seconds(delay));
            bounded_fleet bounded(size);
            bounded.fleet.run_on(bounded.usual, 8s);
            bounded.fleet.run_on(bounded.demand(6.0), delay);
            bounded.fleet.is_isolated = bounded.part_of_hosts(0.35, 0);
            const auto first = bounded.fleet.run_on(bounded.demand(6.0), 4s);
            EXPECT_LE(first.max_in_window, bounded.allowed);
            bounded.fleet.is_isolated.assign(size.hosts, false);
            bounded.fleet.run_on(bounded.demand(6.0), 1s);
            bounded.fleet.is_isolated = bounded.part_of_hosts(0.35, 1);
            const auto second = bounded.fleet.run_on(bounded.demand(6.0), 3s);
            EXPECT_LE(second.max_in_window, bounded.allowed);
            bounded.fleet.is_isolated.assign(size.hosts, false);
            const auto after = bounded.fleet.run_on(bounded.demand(6.0), 8s);
            EXPECT_LE(after.max_in_window, bounded.allowed);
        }
    }
}

// Guards against QUOTA when a data centre, or a group of hosts of several, is
// cut off from the others just after demand has risen.
TEST(rate_bounds, groups_cut_off_while_demand_rises_stay_within_the_bound)
{
    for (const auto& size : fleet_cases)
    {
        for (const bool is_data_centre : {true, false})
        {
            for (const duration delay : {300ms, 1600ms})
            {
                SCOPED_TRACE(name_of(size));
                SCOPED_TRACE(is_data_centre ? "data centre" : "group");
                SCOPED_TRACE(to_seconds(delay));
                bounded_fleet bounded(size);
                bounded.fleet.run_on(bounded.usual, 8s);
                bounded.fleet.run_on(bounded.demand(6.0), delay);
                bounded.fleet.is_partitioned =
                    is_data_centre ? bounded.first_data_centre()
                                   : bounded.part_of_hosts(0.4, 1);
                const auto cut = bounded.fleet.run_on(bounded.demand(6.0), 7s);
                EXPECT_LE(cut.max_in_window, bounded.allowed);
                bounded.fleet.is_partitioned.assign(size.hosts, false);
                const auto after =
                    bounded.fleet.run_on(bounded.demand(6.0), 7s);
                EXPECT_LE(after.max_in_window, bounded.allowed);
            }
        }
    }
}

// Guards against tokens that are used twice when a pool moves to another host
// and back, with and without lost messages.
TEST(rate_bounds, pools_that_move_stay_within_the_bound)
{
    for (const auto& size : fleet_cases)
    {
        for (const double loss : {0.0, 0.2})
        {
            SCOPED_TRACE(name_of(size));
            SCOPED_TRACE(loss);
            bounded_fleet bounded(size);
            bounded.fleet.run_on(bounded.usual, 8s);
            bounded.fleet.loss = loss;
            for (std::size_t turn = 0; turn < 5; ++turn)
            {
                bounded.fleet.is_down = bounded.part_of_hosts(0.25, turn);
                const auto down =
                    bounded.fleet.run_on(bounded.demand(6.0), 1500ms);
                EXPECT_LE(down.max_in_window, bounded.allowed);
                bounded.fleet.is_down.assign(size.hosts, false);
                const auto back =
                    bounded.fleet.run_on(bounded.demand(6.0), 1500ms);
                EXPECT_LE(back.max_in_window, bounded.allowed);
            }
        }
    }
}

// Guards against QUOTA when two data centres cannot reach each other, but a
// third reaches both and counts for both of them.
TEST(rate_bounds, data_centres_that_reach_others_but_not_each_other)
{
    for (const auto& size : fleet_cases)
    {
        SCOPED_TRACE(name_of(size));
        bounded_fleet bounded(size);
        std::vector<double> demand(size.hosts, 0.0);
        for (std::size_t i = 0; i < size.hosts; ++i)
        {
            demand[i] = i % data_centres < 2 ? 15.0 * bounded.usual[i] : 0.0;
        }
        bounded.fleet.run_on(demand, 8s);
        bounded.fleet.is_pair_cut = true;
        const auto counts = bounded.fleet.run_on(demand, 10s);
        EXPECT_LE(counts.max_in_window, bounded.allowed);
    }
}

// Guards against QUOTA when hosts that are cut off start again: they know no
// other host and use the whole rate.
TEST(rate_bounds, cut_off_hosts_that_start_again_stay_within_the_bound)
{
    for (const auto& size : fleet_cases)
    {
        SCOPED_TRACE(name_of(size));
        bounded_fleet bounded(size);
        bounded.fleet.run_on(bounded.usual, 8s);
        bounded.fleet.is_isolated[0] = true;
        bounded.fleet.is_isolated[1] = true;
        // Three hosts of each data centre have entries in the platform.
        bounded.fleet.others_listed =
            std::min(3 * data_centres, size.hosts) - 1;
        bounded.fleet.restart_all(800ms);
        const auto counts = bounded.fleet.run_on(bounded.demand(6.0), 12s);
        EXPECT_LE(counts.max_in_window, bounded.allowed);
    }
}

// Guards against a bound that holds only because nothing is admitted.
TEST(rate_bounds, callers_within_the_rate_are_admitted_in_calm)
{
    for (const auto& size : fleet_cases)
    {
        SCOPED_TRACE(name_of(size));
        bounded_fleet bounded(size);
        bounded.fleet.run_on(bounded.usual, 8s);
        const auto usual = bounded.fleet.run_on(bounded.usual, 20s);
        EXPECT_GE(admitted_fraction(usual), 0.95);
        const auto surge = bounded.fleet.run_on(bounded.demand(6.0), 20s);
        EXPECT_GE(surge.admitted, size.rate * 20.0 * 0.95);
        EXPECT_LE(surge.max_in_window, bounded.allowed);
    }
}

} // namespace
} // namespace cyclamenhold
