// What the hosts of a data centre, or of the whole fleet, count of call trees
// together, as rates; and the slot time that a request of each route takes in
// each service below it.
#pragma once

#include "core/trees/tree_counts.hpp"

#include <map>
#include <utility>

namespace cyclamenhold
{

// Successful runs of one route at the upstreams of one service, in the recent
// past. Older ones count less.
struct run_totals
{
    double runs = 0.0;
    double slot_seconds = 0.0;
    std::map<route_id, double> calls;
};

struct service_totals
{
    // Requests that its upstreams may run at once.
    double limit = 0.0;
    // Calls a second that its gates start and refuse.
    double started_calls = 0.0;
    double refused_calls = 0.0;
};

struct tree_totals
{
    std::map<std::pair<route_id, service_id>, run_totals> runs;
    std::map<service_id, service_totals> services;
    // Root requests a second.
    std::map<tree_key, double> demand;
};

void add(tree_totals& sum, const tree_totals& part);

// Slot time by service, in seconds: on average, one request holds this many
// slots for one second.
using tree_cost = std::map<service_id, double>;

// The costs of root requests, by route and service.
using tree_costs = std::map<std::pair<route_id, service_id>, tree_cost>;

// The cost of one request of each route at each of its services, with all calls
// below it. Requests whose runs are not known have no entry; calls of such
// routes cost nothing.
[[nodiscard]] tree_costs costs_of(const tree_totals& totals);

} // namespace cyclamenhold
