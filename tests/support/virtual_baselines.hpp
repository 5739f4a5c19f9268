// Baseline policies for comparison: pass-through to an upstream, and a fixed
// concurrency limit with a FIFO queue.
#pragma once

#include "support/virtual_calls.hpp"

#include <algorithm>

namespace cyclamenhold
{

// Queue capacity per slot under the fixed limit, in requests.
constexpr std::size_t fixed_queue_factor = 2;

// Returns the index of a random host that serves the service, in the data
// centre of `node` when there is one.
inline std::size_t
baseline_upstream(call_fleet& fleet, std::size_t node, std::size_t service)
{
    std::vector<std::size_t> local;
    std::vector<std::size_t> any;
    for (std::size_t i = 0; i < fleet.hosts.size(); ++i)
    {
        const virtual_host& host = *fleet.hosts[i];
        if (host.service != service || !host.is_up)
        {
            continue;
        }
        any.push_back(i);
        if (host.data_centre == fleet.hosts[node]->data_centre)
        {
            local.push_back(i);
        }
    }
    const auto& candidates = local.empty() ? any : local;
    return candidates[random_below(fleet.random, candidates.size())];
}

inline void start_fixed_limit(call_fleet& fleet, virtual_host& host)
{
    const auto limit = fleet.deployment.services[host.service].announced_slots;
    while (!host.fixed_queue.empty() && host.fixed_running < limit)
    {
        const attempt_pointer attempt = host.fixed_queue.front();
        host.fixed_queue.pop_front();
        if (attempt->ended)
        {
            continue;
        }
        ++host.fixed_running;
        start_at_upstream(fleet, host, attempt);
    }
}

inline void refuse_baseline(const attempt_pointer& attempt)
{
    attempt->ended = true;
    attempt_result result;
    result.status = attempt_status::refused;
    result.http_status = 503;
    attempt->done(result);
}

inline void arrive_baseline(call_fleet& fleet, const attempt_pointer& attempt)
{
    virtual_host& host = *fleet.hosts[attempt->host];
    const service_model& service = fleet.deployment.services[host.service];
    ++fleet.result.attempts[host.service];
    if (!host.is_up)
    {
        refuse_baseline(attempt);
        return;
    }
    if (fleet.policy == overload_policy::pass_through)
    {
        const std::size_t in_progress =
            host.upstream.waiting.size() + host.upstream.busy;
        if (in_progress >= service.connections)
        {
            refuse_baseline(attempt);
            return;
        }
        start_at_upstream(fleet, host, attempt);
        return;
    }
    if (host.fixed_queue.size() >= fixed_queue_factor * service.announced_slots)
    {
        refuse_baseline(attempt);
        return;
    }
    run_after(
        fleet.clock, attempt->context.deadline - fleet.clock.now,
        [&fleet, attempt]()
        {
            expire_attempt(fleet, attempt);
        });
    host.fixed_queue.push_back(attempt);
    start_fixed_limit(fleet, host);
}

inline void start_baseline_call(
    call_fleet& fleet, const baseline_call& call,
    std::function<void(bool)> done)
{
    const auto& chain = fleet.deployment.routes[call.route].chain;
    const auto attempt = std::make_shared<virtual_attempt>();
    attempt->host = baseline_upstream(fleet, call.node, chain[call.position]);
    attempt->entry_id = fleet.next_id++;
    attempt->context.deadline = call.deadline;
    attempt->route = call.route;
    attempt->position = call.position;
    const auto is_pending = std::make_shared<bool>(true);
    const auto finish = [is_pending, done = std::move(done)](bool ok)
    {
        if (std::exchange(*is_pending, false))
        {
            done(ok);
        }
    };
    const duration delay = delay_between(fleet, call.node, attempt->host);
    attempt->done = [&fleet, finish, delay](const attempt_result& result)
    {
        const bool ok = result.status == attempt_status::replied &&
                        result.http_status == 200;
        run_after(
            fleet.clock, delay,
            [finish, ok]()
            {
                finish(ok);
            });
    };
    run_after(
        fleet.clock, call.deadline - fleet.clock.now,
        [finish]()
        {
            finish(false);
        });
    run_after(
        fleet.clock, delay,
        [&fleet, attempt]()
        {
            arrive_baseline(fleet, attempt);
        });
}

} // namespace cyclamenhold
