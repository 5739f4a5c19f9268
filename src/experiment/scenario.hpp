// The definition of an experiment: who sends what, when, and which faults are
// switched meanwhile.
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
    // Requests a second it may send over the whole fleet, and its burst.
    double rate = 0.0;
    double burst = 0.0;
    // Requests a second it does send.
    double offered = 0.0;
};

struct scenario_route
{
    std::string name;
    priority_class priority = priority_class::normal;
    std::string method = "POST";
    std::string path;
    // How often it is drawn, relative to the other routes.
    double weight = 1.0;
    std::uint64_t body_bytes = 0;
    // Zero for an echo of the body.
    std::uint64_t reply_bytes = 0;
    bool never_repeat = false;
};

// What a caller does when a call fails.
struct scenario_retries
{
    std::uint32_t attempts = 0;
    double delay_s = 0.05;
};

// A time in which a workspace, or all, sends a multiple of its usual rate.
struct scenario_phase
{
    double from_s = 0.0;
    double until_s = 0.0;
    double multiplier = 1.0;
    // Empty for all.
    std::string workspace;
};

// Faults switched on at the upstreams of a service or data centre for a time.
struct scenario_trigger
{
    double from_s = 0.0;
    double until_s = 0.0;
    // "platform" for the platform; empty for all services.
    std::string service;
    // Empty for all data centres.
    std::string data_centre;
    // JSON objects put to the stand-ins at the start and the end.
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
    // Relative speed of each worker in turn, repeated; empty for equal ones.
    std::vector<double> speeds;
    // Paths that each request calls.
    std::vector<std::string> calls;
};

struct scenario
{
    std::string name;
    std::uint64_t seed = 1;
    double duration_s = 30.0;
    // Left out of all figures.
    double warm_up_s = 2.0;
    // Poisson arrivals, or evenly spaced ones.
    bool poisson = true;
    double timeout_s = 2.0;
    std::uint32_t threads = 2;
    // For each target and thread.
    std::uint32_t connections = 64;
    scenario_retries retries;
    std::vector<std::string> data_centres;
    std::vector<scenario_service> services;
    // The one whose attempts are counted.
    std::string deepest_service;
    std::vector<scenario_workspace> workspaces;
    std::vector<scenario_route> routes;
    std::vector<scenario_phase> phases;
    std::vector<scenario_trigger> triggers;
};

// Parses JSON with comments. Members that the scenario does not have are taken
// from `deployment`, another such object, or empty. All problems are added to
// `found`, each with its JSON pointer; the result is usable when there are
// none.
[[nodiscard]] scenario parse_scenario(
    std::string_view text, std::string_view deployment, findings& found);

// The times from the first change of load or fault to the last.
struct disturbance
{
    double from_s = 0.0;
    double until_s = 0.0;
};
[[nodiscard]] disturbance disturbance_of(const scenario& plan);

// The rate at which a workspace sends at a time.
[[nodiscard]] double offered_rate(
    const scenario& plan, const scenario_workspace& workspace, double at_s);

} // namespace cyclamenhold
