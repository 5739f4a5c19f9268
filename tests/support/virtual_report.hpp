// Results of a simulated run, relative to the capacity of the deployment.
#pragma once

#include "support/virtual_model.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace cyclamenhold
{

struct overload_figures
{
    // Requests served during the trigger, divided by those that the slots could
    // have served when allocated by priority.
    double goodput = 0.0;
    // Fraction of the most important class that was served, and the fraction
    // that the capacity allows.
    double critical_served = 0.0;
    double critical_possible = 0.0;
    // Time from the trigger's end until goodput is back at 95% of its mean
    // before the trigger.
    double recovery_seconds = 0.0;
    // Requests served divided by the max-min fair share, at its minimum over
    // the workspaces.
    double worst_workspace = 0.0;
    // Requests that failed although there was capacity for them, as a fraction
    // of all requests.
    double unforced_failures = 0.0;
    // Attempts at the deepest service per request that needs it.
    double attempts_at_deepest = 0.0;
    std::size_t requests = 0;
};

// Slot-seconds that one request of a route takes at each service: its own work
// and that of the nested calls, during which the slot stays occupied.
[[nodiscard]] inline std::vector<double> route_costs(
    const deployment_model& deployment, const scenario_model& scenario,
    const route_model& route)
{
    std::vector<double> costs(deployment.services.size());
    double below = 0.0;
    for (auto i = route.chain.size(); i-- > 0;)
    {
        const std::size_t service = route.chain[i];
        const double factor =
            service == scenario.slow_service ? scenario.slow_factor : 1.0;
        below += to_seconds(deployment.services[service].service_time) * factor;
        costs[service] = below;
    }
    return costs;
}

// Requests per second of each route that the slots can serve at this demand,
// allocated in order of importance.
[[nodiscard]] inline std::vector<double> possible_rates(
    const deployment_model& deployment, const scenario_model& scenario,
    const std::vector<double>& demand)
{
    const std::size_t failed_count =
        scenario.failed_data_centre == no_index ? 0 : 1;
    std::vector<double> free_slots;
    for (const auto& service : deployment.services)
    {
        free_slots.push_back(static_cast<double>(
            service.slots * deployment.workers_per_data_centre *
            (deployment.data_centres - failed_count)));
    }
    // The routes are listed in the order of their importance.
    std::vector<double> possible;
    for (std::size_t r = 0; r < deployment.routes.size(); ++r)
    {
        const auto costs =
            route_costs(deployment, scenario, deployment.routes[r]);
        double rate = demand[r];
        for (std::size_t s = 0; s < costs.size(); ++s)
        {
            if (costs[s] > 0.0)
            {
                rate = std::min(rate, std::max(0.0, free_slots[s]) / costs[s]);
            }
        }
        for (std::size_t s = 0; s < costs.size(); ++s)
        {
            free_slots[s] -= rate * costs[s];
        }
        possible.push_back(rate);
    }
    return possible;
}

// Max-min fair allocation of `total`: no share exceeds its demand, and the
// unused part of a share is divided among the others.
[[nodiscard]] inline std::vector<double>
max_min_shares(const std::vector<double>& demands, double total)
{
    std::vector<std::size_t> order(demands.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i] = i;
    }
    std::ranges::sort(
        order,
        [&](std::size_t left, std::size_t right)
        {
            return demands[left] < demands[right];
        });
    std::vector<double> shares(demands.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        const double equal = total / static_cast<double>(order.size() - i);
        shares[order[i]] = std::min(demands[order[i]], equal);
        total -= shares[order[i]];
    }
    return shares;
}

struct traffic_counts
{
    // By route and workspace: requests that arrived in the interval, those of
    // them that succeeded, and successes that fall into the interval.
    std::vector<std::vector<double>> demand;
    std::vector<std::vector<double>> succeeded;
    std::vector<std::vector<double>> served;
};

[[nodiscard]] inline traffic_counts count_traffic(
    const deployment_model& deployment, const virtual_result& result,
    time_point from, time_point to)
{
    const std::vector<double> none(deployment.workspaces.size());
    traffic_counts counts;
    counts.demand.assign(deployment.routes.size(), none);
    counts.served = counts.demand;
    counts.succeeded = counts.demand;
    for (const auto& request : result.requests)
    {
        if (request.arrived >= from && request.arrived < to)
        {
            ++counts.demand[request.route][request.workspace];
            counts.succeeded[request.route][request.workspace] +=
                request.succeeded ? 1.0 : 0.0;
        }
        if (request.succeeded && request.ended >= from && request.ended < to)
        {
            ++counts.served[request.route][request.workspace];
        }
    }
    return counts;
}

[[nodiscard]] inline double sum_of(const std::vector<double>& values)
{
    double sum = 0.0;
    for (const double value : values)
    {
        sum += value;
    }
    return sum;
}

// Seconds from the trigger's end until the goodput over three windows is at
// least 95% of the mean before the trigger, in two successive windows.
[[nodiscard]] inline double
recovery_of(const scenario_model& scenario, const virtual_result& result)
{
    constexpr double window = 0.25;
    constexpr double warm_up = 2.0;
    const double start = to_seconds(scenario.trigger_start);
    const double end = to_seconds(scenario.trigger_end);
    std::map<int, double> windows;
    double before = 0.0;
    for (const auto& request : result.requests)
    {
        const double at = to_seconds(request.ended - result.started);
        if (!request.succeeded)
        {
            continue;
        }
        before += at >= warm_up && at < start ? 1.0 : 0.0;
        if (at >= end)
        {
            ++windows[static_cast<int>((at - end) / window)];
        }
    }
    const double normal = before / (start - warm_up) * window;
    const int last =
        static_cast<int>((to_seconds(scenario.length) - end) / window);
    int recovered_count = 0;
    for (int i = 0; i < last; ++i)
    {
        // The sum of three windows reduces the Poisson noise of a single one.
        const double sum_of_three =
            windows[i] + windows[i + 1] + windows[i + 2];
        recovered_count =
            sum_of_three >= 3 * 0.95 * normal ? recovered_count + 1 : 0;
        if (recovered_count == 2)
        {
            return (i - 1) * window;
        }
    }
    return to_seconds(scenario.length) - end;
}

[[nodiscard]] inline overload_figures measure(
    const deployment_model& deployment, const scenario_model& scenario,
    const virtual_result& result)
{
    overload_figures figures;
    figures.requests = result.requests.size();
    const auto counts = count_traffic(
        deployment, result, result.started + scenario.trigger_start,
        result.started + scenario.trigger_end);
    const double seconds =
        to_seconds(scenario.trigger_end - scenario.trigger_start);
    std::vector<double> demand;
    for (const auto& by_workspace : counts.demand)
    {
        demand.push_back(sum_of(by_workspace) / seconds);
    }
    const auto possible = possible_rates(deployment, scenario, demand);
    double served = 0.0;
    double succeeded = 0.0;
    double deepest_demand = 0.0;
    std::vector<double> shares(deployment.workspaces.size());
    std::vector<double> workspace_succeeded(deployment.workspaces.size());
    for (std::size_t r = 0; r < demand.size(); ++r)
    {
        served += sum_of(counts.served[r]);
        succeeded += sum_of(counts.succeeded[r]);
        const auto fair_shares =
            max_min_shares(counts.demand[r], possible[r] * seconds);
        for (std::size_t w = 0; w < shares.size(); ++w)
        {
            shares[w] += fair_shares[w];
            workspace_succeeded[w] += counts.succeeded[r][w];
        }
    }
    figures.goodput = served / (sum_of(possible) * seconds);
    figures.critical_served =
        sum_of(counts.succeeded[0]) / (demand[0] * seconds);
    figures.critical_possible = possible[0] / demand[0];
    figures.recovery_seconds = recovery_of(scenario, result);
    figures.worst_workspace = 1e9;
    for (std::size_t w = 0; w < shares.size(); ++w)
    {
        figures.worst_workspace = std::min(
            figures.worst_workspace, workspace_succeeded[w] / shares[w]);
    }
    const double total = sum_of(demand) * seconds;
    const double forced = total - sum_of(possible) * seconds;
    // Counts of requests are integers: a smaller difference is a rounding
    // error.
    constexpr double rounding_error = 1e-6;
    const double unforced = total - succeeded - forced;
    figures.unforced_failures =
        unforced > rounding_error ? unforced / total : 0.0;
    for (const auto& request : result.requests)
    {
        const auto& chain = deployment.routes[request.route].chain;
        deepest_demand +=
            std::ranges::find(chain, deployment.services.size() - 1) !=
                    chain.end()
                ? 1.0
                : 0.0;
    }
    figures.attempts_at_deepest =
        static_cast<double>(result.attempts.back()) / deepest_demand;
    return figures;
}

} // namespace cyclamenhold
