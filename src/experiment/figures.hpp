// What an experiment showed: figures worked out from one record a call.
#pragma once

#include "core/base/outcome.hpp"
#include "experiment/scenario.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenhold
{

// One call of a caller, with all of its re-sends.
struct sent_call
{
    std::uint32_t workspace = 0;
    std::uint32_t route = 0;
    // When it was meant to be sent, and when it was over.
    double at_s = 0.0;
    double done_s = 0.0;
    // Of the last attempt; zero when none was answered.
    unsigned status = 0;
    outcome result = outcome::unknown;
    // A succeeded and correct reply arrived.
    bool succeeded = false;
    std::uint32_t attempts = 0;
};

// Counters of all stand-ins of one service over the run.
struct service_counts
{
    std::string service;
    // Requests that arrived, and those that got a slot.
    std::uint64_t received = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t shed = 0;
    bool operator==(const service_counts&) const = default;
};

struct workspace_figures
{
    std::string name;
    // Calls a second in the disturbed time.
    double offered = 0.0;
    double served = 0.0;
    // Its max-min share of what all were served together, of at most its rate.
    double entitled = 0.0;
    // Calls refused while it sent no more than its rate: over the succeeded
    // run, and those of them refused for their rate.
    std::uint64_t refused_inside_rate = 0;
    std::uint64_t rate_refused_inside_rate = 0;
};

struct class_figures
{
    priority_class priority = priority_class::normal;
    // Calls inside the workspaces' rates in the disturbed time.
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
};

// Calls by when they were meant to be sent.
struct goodput_bin
{
    double from_s = 0.0;
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    // By priority class.
    std::vector<std::uint64_t> served_by_class;
};

struct experiment_figures
{
    disturbance disturbed;
    std::uint64_t calls = 0;
    std::uint64_t attempts = 0;
    // Whole answers a second.
    double goodput_before = 0.0;
    double goodput_during = 0.0;
    double goodput_after = 0.0;
    // During the disturbance, without what workspaces got above their rates.
    double goodput_inside_rate = 0.0;
    // Offered calls a second.
    double offered_before = 0.0;
    double offered_during = 0.0;
    // Seconds after the disturbance until calls are again served at 95% of
    // the share before; negative when that never came.
    double recovery_s = 0.0;
    // The lowest served / entitled of all workspaces.
    double worst_served = 1.0;
    std::string worst_workspace;
    std::uint64_t refused_inside_rate = 0;
    std::uint64_t rate_refused_inside_rate = 0;
    // Attempts that reached the deepest service for each call.
    double deepest_attempts = 0.0;
    // Of succeeded answers, in milliseconds.
    double latency_p50_ms = 0.0;
    double latency_p99_ms = 0.0;
    std::vector<workspace_figures> workspaces;
    std::vector<class_figures> classes;
    std::vector<goodput_bin> bins;
    std::vector<service_counts> services;
};

[[nodiscard]] experiment_figures compute_figures(
    const scenario& plan, const std::vector<sent_call>& records,
    const std::vector<service_counts>& services);

// Divides `total` so that no demand gets more than it asks for and the
// smallest share is as large as can be.
[[nodiscard]] std::vector<double>
max_min_shares(const std::vector<double>& demands, double total);

} // namespace cyclamenhold
