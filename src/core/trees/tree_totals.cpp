#include "core/trees/tree_totals.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace cyclamenhold
{
namespace
{

// Runs of one route at one service, and their part of all runs of the route.
struct route_part
{
    service_id service = service_id::none;
    double share = 0.0;
    const run_totals* totals = nullptr;
};

using route_parts = std::map<route_id, std::vector<route_part>>;

// Runs of different routes at one upstream may expire at about the same time,
// so that some calls are counted for the wrong one. A route with less than this
// part of the calls in a run that another route makes there is taken to make
// none.
constexpr double least_part_of_calls = 0.1;

// The most calls of a route in one run of any route at a service.
using calls_in_a_run = std::map<std::pair<service_id, route_id>, double>;

calls_in_a_run most_calls(const tree_totals& totals)
{
    calls_in_a_run most;
    for (const auto& [key, entry] : totals.runs)
    {
        for (const auto& [called, calls] : entry.calls)
        {
            double& largest = most[{key.second, called}];
            largest =
                std::max(largest, entry.runs > 0.0 ? calls / entry.runs : 0.0);
        }
    }
    return most;
}

route_parts parts_of(const tree_totals& totals)
{
    std::map<route_id, double> runs;
    for (const auto& [key, entry] : totals.runs)
    {
        runs[key.first] += entry.runs;
    }
    route_parts parts;
    for (const auto& [key, entry] : totals.runs)
    {
        const auto& [route, service] = key;
        if (entry.runs > 0.0)
        {
            parts[route].push_back({service, entry.runs / runs[route], &entry});
        }
    }
    return parts;
}

struct cost_reader
{
    const route_parts& parts;
    const calls_in_a_run& most;
    std::map<route_id, tree_cost> costs;
    // The routes above the present one. A route that calls itself is counted
    // once.
    std::set<route_id> above;
};

const tree_cost& read_cost(cost_reader& reader, route_id route);

// Adds the cost of a run at one service, times `weight`.
void add_part(
    cost_reader& reader, const route_part& part, double weight, tree_cost& cost)
{
    cost[part.service] +=
        weight * part.totals->slot_seconds / part.totals->runs;
    for (const auto& [called, calls] : part.totals->calls)
    {
        if (reader.above.contains(called) || !reader.parts.contains(called))
        {
            continue;
        }
        const double in_a_run = calls / part.totals->runs;
        if (in_a_run <
            least_part_of_calls * reader.most.at({part.service, called}))
        {
            continue;
        }
        const double per_run = weight * in_a_run;
        for (const auto& [service, seconds] : read_cost(reader, called))
        {
            cost[service] += per_run * seconds;
        }
    }
}

const tree_cost& read_cost(cost_reader& reader, route_id route)
{
    if (const auto known = reader.costs.find(route);
        known != reader.costs.end())
    {
        return known->second;
    }
    tree_cost cost;
    reader.above.insert(route);
    for (const auto& part : reader.parts.at(route))
    {
        add_part(reader, part, part.share, cost);
    }
    reader.above.erase(route);
    return reader.costs[route] = std::move(cost);
}

} // namespace

void add(tree_totals& sum, const tree_totals& part)
{
    for (const auto& [key, entry] : part.runs)
    {
        run_totals& total = sum.runs[key];
        total.runs += entry.runs;
        total.slot_seconds += entry.slot_seconds;
        for (const auto& [route, calls] : entry.calls)
        {
            total.calls[route] += calls;
        }
    }
    for (const auto& [service, entry] : part.services)
    {
        service_totals& total = sum.services[service];
        total.limit += entry.limit;
        total.started_calls += entry.started_calls;
        total.refused_calls += entry.refused_calls;
    }
    for (const auto& [key, per_second] : part.demand)
    {
        sum.demand[key] += per_second;
    }
}

tree_costs costs_of(const tree_totals& totals)
{
    const route_parts parts = parts_of(totals);
    const calls_in_a_run most = most_calls(totals);
    cost_reader reader{parts, most, {}, {}};
    tree_costs costs;
    for (const auto& [route, list] : parts)
    {
        reader.above = {route};
        for (const auto& part : list)
        {
            add_part(reader, part, 1.0, costs[{route, part.service}]);
        }
    }
    return costs;
}

} // namespace cyclamenhold
