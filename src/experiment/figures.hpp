// The results of an experiment, computed from one record per call.
#pragma once

#include "core/base/outcome.hpp"
#include "experiment/scenario.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenhold
{

// One call of a caller, including its retries.
struct sent_call
{
    std::uint32_t workspace = 0;
    std::uint32_t route = 0;
    // When the call was due to be sent, and when it finished.
    double at_s = 0.0;
    double done_s = 0.0;
    // HTTP status of the last attempt; zero if it had no answer.
    unsigned status = 0;
    outcome result = outcome::unknown;
    // A complete reply with status 200 and the expected body was received.
    bool succeeded = false;
    std::uint32_t attempts = 0;
};

// Counters of all stand-ins of one service over the run.
struct service_counts
{
    std::string service;
    // Requests that arrived, and those that started in a slot.
    std::uint64_t received = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t shed = 0;
    bool operator==(const service_counts&) const = default;
};

struct workspace_figures
{
    std::string name;
    // Calls per second during the disturbance.
    double offered = 0.0;
    double served = 0.0;
    // The workspace's max-min fair share of the total goodput, with a demand of
    // at most its rate; calls per second.
    double entitled = 0.0;
    // Calls refused while the workspace sent no more than its rate, over the
    // whole run: all of them, and those refused by the rate limit (429).
    std::uint64_t refused_inside_rate = 0;
    std::uint64_t rate_refused_inside_rate = 0;
};

struct class_figures
{
    priority_class priority = priority_class::normal;
    // Calls during the disturbance of workspaces that sent no more than their
    // rate.
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
};

// The calls that were due to be sent in one interval of the time line.
struct goodput_bin
{
    double from_s = 0.0;
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    // Indexed by priority class.
    std::vector<std::uint64_t> served_by_class;
};

struct experiment_figures
{
    disturbance disturbed;
    std::uint64_t calls = 0;
    std::uint64_t attempts = 0;
    // Successful calls per second.
    double goodput_before = 0.0;
    double goodput_during = 0.0;
    double goodput_after = 0.0;
    // Successful calls per second during the disturbance, with each workspace
    // counted up to its rate.
    double goodput_inside_rate = 0.0;
    // Calls sent per second.
    double offered_before = 0.0;
    double offered_during = 0.0;
    // Seconds from the end of the disturbance until the share of calls that
    // succeed is again 95% of that before; negative without recovery.
    double recovery_s = 0.0;
    // The lowest served / entitled of all workspaces, and that workspace.
    double worst_served = 1.0;
    std::string worst_workspace;
    std::uint64_t refused_inside_rate = 0;
    std::uint64_t rate_refused_inside_rate = 0;
    // Mean number of requests per call at the deepest service.
    double deepest_attempts = 0.0;
    // Latency of successful calls in milliseconds, without the warm-up.
    double latency_p50_ms = 0.0;
    double latency_p99_ms = 0.0;
    std::vector<workspace_figures> workspaces;
    std::vector<class_figures> classes;
    std::vector<goodput_bin> bins;
    std::vector<service_counts> services;
};

// `services` are the counters of the upstreams over the run.
[[nodiscard]] experiment_figures compute_figures(
    const scenario& plan, const std::vector<sent_call>& records,
    const std::vector<service_counts>& services);

// Divides `total` by max-min fairness: no share exceeds its demand, and no
// share can grow without reducing one that is equal or smaller.
[[nodiscard]] std::vector<double>
max_min_shares(const std::vector<double>& demands, double total);

} // namespace cyclamenhold
