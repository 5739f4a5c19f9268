// Model of a simulated run: services, routes, workspaces, the temporary
// overload or failure of a scenario, and the results.
#pragma once

#include "core/base/outcome.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace cyclamenhold
{

struct service_model
{
    std::string name;
    std::uint32_t announced_slots = 0;
    // Requests that each upstream can run concurrently.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    duration service_time = 100ms;
};

// A request goes to the first service of the chain; each service calls the next
// one.
struct route_model
{
    std::string name;
    priority_class priority = priority_class::normal;
    std::vector<std::size_t> chain;
    // Share of all demand.
    double share = 1.0;
};

struct workspace_model
{
    std::string name;
    // Share of all demand.
    double share = 1.0;
};

struct deployment_model
{
    std::string name;
    std::size_t data_centres = 0;
    std::size_t workers_per_data_centre = 1;
    std::vector<service_model> services;
    std::vector<route_model> routes;
    std::vector<workspace_model> workspaces;
    // Root requests per second while no trigger is active.
    double demand = 0.0;
};

constexpr std::size_t no_index = std::numeric_limits<std::size_t>::max();

// An overload or failure that is active from `trigger_start` to `trigger_end`,
// both relative to the start of the run.
struct scenario_model
{
    std::string name;
    // The service whose requests take `slow_factor` times as long.
    std::size_t slow_service = no_index;
    double slow_factor = 1.0;
    double surge = 1.0;
    // The route whose demand is multiplied by `route_surge`.
    std::size_t surging_route = no_index;
    double route_surge = 1.0;
    std::size_t surging_workspace = no_index;
    double workspace_surge = 1.0;
    std::size_t failed_data_centre = no_index;
    duration trigger_start = 5s;
    duration trigger_end = 15s;
    duration length = 20s;
    // Maximum number of times that a caller sends a failed request again.
    std::uint32_t caller_retries = 3;
    duration caller_retry_delay = 100ms;
    // Rate limit of each workspace as a multiple of its normal demand.
    double rate_multiple = 4.0;
    std::uint64_t seed = 1;
};

enum class overload_policy : std::uint8_t
{
    // The gate, routing and retries of this project.
    adaptive,
    // Requests go directly to an upstream, up to its number of connections.
    pass_through,
    // A fixed concurrency limit with a FIFO queue.
    fixed_limit
};

template <>
struct enum_names<overload_policy>
{
    static constexpr std::array<std::pair<overload_policy, std::string_view>, 3>
        table{
            {{overload_policy::adaptive, "adaptive"},
             {overload_policy::pass_through, "pass-through"},
             {overload_policy::fixed_limit, "fixed-limit"}}};
};

// One request of a caller, with its retries.
struct request_outcome
{
    time_point arrived{};
    time_point ended{};
    std::size_t route = 0;
    std::size_t workspace = 0;
    bool succeeded = false;
};

struct virtual_result
{
    std::vector<request_outcome> requests;
    // Attempts that arrived at the nodes of each service.
    std::vector<std::uint64_t> attempts;
    time_point started{};
};

} // namespace cyclamenhold
