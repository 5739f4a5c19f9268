// What a virtual run is made of: services, routes, workspaces, and the trouble
// that a scenario causes for a while.
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
    // What each upstream can really run at once.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    duration service_time = 100ms;
};

// A request goes to the first service, which calls the next one, and so on.
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
    // Root requests a second when nothing is wrong.
    double demand = 0.0;
};

constexpr std::size_t no_index = std::numeric_limits<std::size_t>::max();

// Applies from `trigger_start` to `trigger_end` of the run.
struct scenario_model
{
    std::string name;
    // The service whose requests take `slow_factor` times as long.
    std::size_t slow_service = no_index;
    double slow_factor = 1.0;
    double surge = 1.0;
    // The route whose demand is multiplied.
    std::size_t surging_route = no_index;
    double route_surge = 1.0;
    std::size_t surging_workspace = no_index;
    double workspace_surge = 1.0;
    std::size_t failed_data_centre = no_index;
    duration trigger_start = 5s;
    duration trigger_end = 15s;
    duration length = 20s;
    // Callers send a failed request again up to so often.
    std::uint32_t caller_retries = 3;
    duration caller_retry_delay = 100ms;
    // Each workspace may send so many times its normal demand.
    double rate_multiple = 4.0;
    std::uint64_t seed = 1;
};

enum class overload_policy : std::uint8_t
{
    // This project's gate, routing and retries.
    adaptive,
    // Every request goes straight to an upstream.
    pass_through,
    // A fixed concurrency limit with a first-come-first-served queue.
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

// One request of a caller, however often it is sent.
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
    // Attempts that reached each service's nodes.
    std::vector<std::uint64_t> attempts;
    time_point started{};
};

} // namespace cyclamenhold
