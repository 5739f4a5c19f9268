// The definition of an experiment: which workspaces send which calls at which
// times, and which faults are injected.
#pragma once

#include "core/base/findings.hpp"
#include "core/base/outcome.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

struct scenario_workspace
{
    std::string name;
    // Rate limit over the whole fleet in requests per second, and its burst.
    double rate = 0.0;
    double burst = 0.0;
    // Requests per second that it sends.
    double offered = 0.0;
};

struct scenario_route
{
    std::string name;
    priority_class priority = priority_class::normal;
    std::string method = "POST";
    std::string path;
    // How often the route is used, relative to the other routes.
    double weight = 1.0;
    std::uint64_t body_bytes = 0;
    // Size of the reply; zero if the upstream echoes the body.
    std::uint64_t reply_bytes = 0;
    bool never_repeat = false;
};

// The retry policy of callers: at most `attempts` retries, each after about
// `delay_s`.
struct scenario_retries
{
    std::uint32_t attempts = 0;
    double delay_s = 0.05;
};

// An interval in which one workspace or all of them send a multiple of their
// usual rate.
struct scenario_phase
{
    double from_s = 0.0;
    double until_s = 0.0;
    double multiplier = 1.0;
    // Empty for all workspaces.
    std::string workspace;
};

// An interval in which faults are injected into the upstreams of a service or
// data centre.
struct scenario_trigger
{
    double from_s = 0.0;
    double until_s = 0.0;
    // "platform" for the platform instead of a service; empty for all services.
    std::string service;
    // Empty for all data centres.
    std::string data_centre;
    // JSON objects sent to the stand-ins at the start and at the end.
    std::string on;
    std::string off;
};

struct scenario_service
{
    std::string name;
    std::uint32_t workers_per_data_centre = 1;
    std::uint32_t slots = 100;
    std::uint32_t connections = 1'000;
    std::uint32_t queue = 100;
    double service_time_ms = 20.0;
    // Relative speeds, assigned to the workers in turn and repeated; empty for
    // equal speeds.
    std::vector<double> speeds;
    // Paths of the child calls that each request makes.
    std::vector<std::string> calls;
};

struct scenario
{
    std::string name;
    std::uint64_t seed = 1;
    double duration_s = 30.0;
    // Time at the start that rates and latencies leave out.
    double warm_up_s = 2.0;
    // Poisson arrivals if true, evenly spaced ones if false.
    bool poisson = true;
    double timeout_s = 2.0;
    std::uint32_t threads = 2;
    // Connections for each target and thread.
    std::uint32_t connections = 64;
    scenario_retries retries;
    std::vector<std::string> data_centres;
    std::vector<scenario_service> services;
    // The service whose requests per call are reported.
    std::string deepest_service;
    std::vector<scenario_workspace> workspaces;
    std::vector<scenario_route> routes;
    std::vector<scenario_phase> phases;
    std::vector<scenario_trigger> triggers;
};

// Parses JSON with comments. Members missing in `text` are taken from
// `deployment`, which is an object with the same members or empty. Adds all
// problems to `found`, each with its JSON pointer; the result is valid only if
// there are none.
[[nodiscard]] scenario parse_scenario(
    std::string_view text, std::string_view deployment, findings& found);

// The time from the first change of load or faults to the last.
struct disturbance
{
    double from_s = 0.0;
    double until_s = 0.0;
};
// An empty interval at the end of the run if there are no phases or triggers.
[[nodiscard]] disturbance disturbance_of(const scenario& plan);

// The rate at which a workspace sends at a time, in requests per second.
[[nodiscard]] double offered_rate(
    const scenario& plan, const scenario_workspace& workspace, double at_s);

} // namespace cyclamenhold
