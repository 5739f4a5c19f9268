// Runs one scenario on one deployment under one policy.
#pragma once

#include "support/virtual_baselines.hpp"
#include "support/virtual_calls.hpp"

#include <cmath>

namespace cyclamenhold
{

inline bool is_trigger_active(const call_fleet& fleet)
{
    const duration elapsed = fleet.clock.now - fleet.result.started;
    return elapsed >= fleet.scenario.trigger_start &&
           elapsed < fleet.scenario.trigger_end;
}

inline double demand_of(
    const call_fleet& fleet, std::size_t route, std::size_t workspace,
    bool triggered)
{
    const scenario_model& scenario = fleet.scenario;
    const deployment_model& deployment = fleet.deployment;
    double demand = deployment.demand * deployment.routes[route].share *
                    deployment.workspaces[workspace].share;
    if (!triggered)
    {
        return demand;
    }
    demand *= scenario.surge;
    demand *= route == scenario.surging_route ? scenario.route_surge : 1.0;
    demand *= workspace == scenario.surging_workspace ? scenario.workspace_surge
                                                      : 1.0;
    return demand;
}

// Takes a token from the workspace's rate limit, which is exact over the whole
// fleet. Returns false when there is none.
inline bool take_rate_token(call_fleet& fleet, std::size_t workspace)
{
    const deployment_model& deployment = fleet.deployment;
    const double rate = deployment.demand *
                        deployment.workspaces[workspace].share *
                        fleet.scenario.rate_multiple;
    workspace_bucket& entry = fleet.workspace_buckets[workspace];
    const double elapsed = to_seconds(fleet.clock.now - entry.refilled_at);
    entry.tokens = std::min(rate / 2, entry.tokens + rate * elapsed);
    entry.refilled_at = fleet.clock.now;
    if (entry.tokens < 1.0)
    {
        return false;
    }
    entry.tokens -= 1.0;
    return true;
}

// Sends a caller's request to a random running host, and again after a delay
// when it fails.
inline void
send_request(call_fleet& fleet, std::size_t index, std::uint32_t retries_left)
{
    const request_outcome& request = fleet.result.requests[index];
    call_request call;
    call.method = "GET";
    call.target = "/" + fleet.deployment.routes[request.route].name + "/" +
                  std::to_string(index);
    call.key = key_of(request.workspace);
    std::size_t node = random_below(fleet.random, fleet.hosts.size());
    while (!fleet.hosts[node]->is_up)
    {
        node = random_below(fleet.random, fleet.hosts.size());
    }
    start_call(
        fleet, node, request.route, 0, call,
        [&fleet, index, retries_left](bool ok)
        {
            request_outcome& ended = fleet.result.requests[index];
            ended.ended = fleet.clock.now;
            ended.succeeded = ok;
            if (ok || retries_left == 0)
            {
                return;
            }
            const double factor = 0.5 + random_fraction(fleet.random);
            run_after(
                fleet.clock,
                from_seconds(
                    to_seconds(fleet.scenario.caller_retry_delay) * factor),
                [&fleet, index, retries_left]()
                {
                    send_request(fleet, index, retries_left - 1);
                });
        });
}

// Schedules the next request. Arrivals are a Poisson process at the larger of
// the normal rate and that during the trigger, thinned to the current rate.
inline void
schedule_arrival(call_fleet& fleet, std::size_t route, std::size_t workspace)
{
    const double normal = demand_of(fleet, route, workspace, false);
    const double peak =
        std::max(normal, demand_of(fleet, route, workspace, true));
    const double wait = -std::log(1.0 - random_fraction(fleet.random)) / peak;
    run_after(
        fleet.clock, from_seconds(wait),
        [&fleet, route, workspace, peak]()
        {
            const double current_demand =
                demand_of(fleet, route, workspace, is_trigger_active(fleet));
            const bool is_accepted =
                random_fraction(fleet.random) * peak < current_demand;
            if (is_accepted && take_rate_token(fleet, workspace))
            {
                fleet.result.requests.push_back(
                    {fleet.clock.now, {}, route, workspace, false});
                send_request(
                    fleet, fleet.result.requests.size() - 1,
                    fleet.scenario.caller_retries);
            }
            schedule_arrival(fleet, route, workspace);
        });
}

inline void schedule_tick(call_fleet& fleet, virtual_host& host)
{
    run_after(
        fleet.clock, 10ms,
        [&fleet, &host]()
        {
            apply_gate_decisions(
                fleet, host, gate_tick(host.gate, fleet.clock.now));
            schedule_tick(fleet, host);
        });
}

// Ends all attempts at the host without a reply. The other hosts route to it
// until the suspicion time has passed.
inline void crash_host(call_fleet& fleet, virtual_host& host)
{
    host.is_up = false;
    const auto attempts = std::exchange(host.attempts, {});
    for (const auto& [entry_id, attempt] : attempts)
    {
        attempt->ended = true;
        attempt->done(attempt_result{});
    }
    upstream_record record = record_of(fleet, host);
    record.state = upstream_state::absent;
    (void)gate_set_upstream(host.gate, record, fleet.clock.now);
    host.gate.running.clear();
    host.upstream.busy = 0;
    host.upstream.waiting.clear();
    host.fixed_queue.clear();
    host.fixed_running = 0;
}

inline void restart_host(call_fleet& fleet, virtual_host& host)
{
    host.is_up = true;
    (void)gate_set_upstream(host.gate, record_of(fleet, host), fleet.clock.now);
}

// Starts or ends the faults of the scenario's trigger.
inline void set_trigger_faults(call_fleet& fleet, bool is_active)
{
    const scenario_model& scenario = fleet.scenario;
    for (auto& host : fleet.hosts)
    {
        if (host->service == scenario.slow_service)
        {
            host->upstream.slow_factor = is_active ? scenario.slow_factor : 1.0;
        }
        if (host->data_centre != scenario.failed_data_centre)
        {
            continue;
        }
        if (is_active)
        {
            crash_host(fleet, *host);
        }
        else
        {
            restart_host(fleet, *host);
        }
    }
    if (scenario.failed_data_centre != no_index)
    {
        constexpr duration suspicion_time = 3s;
        run_after(
            fleet.clock, is_active ? suspicion_time : duration(500ms),
            [&fleet]()
            {
                publish_routing(fleet);
            });
    }
}

[[nodiscard]] inline virtual_result run_scenario(
    const deployment_model& deployment, const scenario_model& scenario,
    overload_policy policy)
{
    call_fleet fleet;
    fleet.deployment = deployment;
    fleet.scenario = scenario;
    fleet.policy = policy;
    fleet.random.seed(scenario.seed);
    fleet.result.started = fleet.clock.now;
    fleet.result.attempts.resize(deployment.services.size());
    fleet.workspace_buckets.resize(deployment.workspaces.size());
    build_hosts(fleet);
    for (auto& host : fleet.hosts)
    {
        schedule_tick(fleet, *host);
    }
    for (std::size_t route = 0; route < deployment.routes.size(); ++route)
    {
        for (std::size_t i = 0; i < deployment.workspaces.size(); ++i)
        {
            schedule_arrival(fleet, route, i);
        }
    }
    run_after(
        fleet.clock, scenario.trigger_start,
        [&fleet]()
        {
            set_trigger_faults(fleet, true);
        });
    run_after(
        fleet.clock, scenario.trigger_end,
        [&fleet]()
        {
            set_trigger_faults(fleet, false);
        });
    run_until(fleet.clock, fleet.result.started + scenario.length);
    return std::move(fleet.result);
}

} // namespace cyclamenhold
