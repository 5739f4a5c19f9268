// Calls through the hosts of a simulated run: from the caller through nodes,
// gates and upstreams along the chain of services, and the replies back.
#pragma once

#include "support/call_fleet.hpp"

#include <cassert>
#include <utility>

namespace cyclamenhold
{

// One-way network delays within a data centre and between data centres.
constexpr duration local_delay = 250us;
constexpr duration remote_delay = 1ms;

// One call at the node where it enters the system.
struct virtual_call
{
    call_state state;
    std::size_t node = 0;
    std::size_t route = 0;
    std::size_t position = 0;
    std::function<void(bool)> done;
};

using call_pointer = std::shared_ptr<virtual_call>;

// A call under one of the baseline policies.
struct baseline_call
{
    std::size_t node = 0;
    std::size_t route = 0;
    std::size_t position = 0;
    time_point deadline{};
};

void start_baseline_call(
    call_fleet& fleet, const baseline_call& call,
    std::function<void(bool)> done);
void run_step(
    call_fleet& fleet, const call_pointer& call, const call_step& step);
void start_call(
    call_fleet& fleet, std::size_t node, std::size_t route,
    std::size_t position, const call_request& request,
    std::function<void(bool)> done);

inline duration
delay_between(const call_fleet& fleet, std::size_t from, std::size_t to)
{
    return fleet.hosts[from]->data_centre == fleet.hosts[to]->data_centre
               ? local_delay
               : remote_delay;
}

void apply_gate_decisions(
    call_fleet& fleet, virtual_host& host, const gate_decisions& decisions);

// Starts queued attempts in order of arrival, up to the fixed limit.
void start_fixed_limit(call_fleet& fleet, virtual_host& host);

// Ends an attempt at its host. `done` delivers the result to the caller's node
// after the network delay.
inline void end_attempt(
    call_fleet& fleet, const attempt_pointer& attempt, attempt_result result,
    gate_result at_gate)
{
    if (attempt->ended)
    {
        return;
    }
    attempt->ended = true;
    virtual_host& host = *fleet.hosts[attempt->host];
    host.attempts.erase(attempt->entry_id);
    gate_decisions decisions;
    if (attempt->started && fleet.policy == overload_policy::adaptive)
    {
        decisions = gate_finish(
            host.gate, attempt->entry_id, at_gate, fleet.clock.now,
            attempt->record->child_wait.total(fleet.clock.now));
    }
    if (attempt->record)
    {
        result.returned_allowance = attempt->record->allowance.close();
        result.load = gate_report(host.gate, fleet.clock.now);
        result.load->downstream = attempt->record->downstream.read();
    }
    attempt->done(result);
    apply_gate_decisions(fleet, host, decisions);
    if (attempt->started && fleet.policy == overload_policy::fixed_limit)
    {
        --host.fixed_running;
        start_fixed_limit(fleet, host);
    }
}

void serve_next(call_fleet& fleet, virtual_host& host);

inline void release_slot(call_fleet& fleet, const attempt_pointer& attempt)
{
    virtual_host& host = *fleet.hosts[attempt->host];
    if (std::exchange(attempt->in_slot, false))
    {
        --host.upstream.busy;
    }
    serve_next(fleet, host);
}

inline void
complete_attempt(call_fleet& fleet, const attempt_pointer& attempt, bool ok)
{
    attempt_result result;
    result.status = attempt_status::replied;
    result.result = outcome::ran;
    result.http_status = ok ? 200 : 503;
    release_slot(fleet, attempt);
    end_attempt(fleet, attempt, result, gate_result::replied);
}

// Runs when the upstream has done its own work: calls the next service of the
// chain, or completes the attempt when there is none.
inline void call_next_service(call_fleet& fleet, const attempt_pointer& attempt)
{
    if (attempt->ended || !fleet.hosts[attempt->host]->is_up)
    {
        return;
    }
    const auto& chain = fleet.deployment.routes[attempt->route].chain;
    const std::size_t next = attempt->position + 1;
    if (next >= chain.size())
    {
        complete_attempt(fleet, attempt, true);
        return;
    }
    call_request request;
    request.method = "GET";
    request.target = "/" + fleet.deployment.services[chain[next]].name;
    request.parent = attempt->context;
    request.parent_record = attempt->record;
    start_call(
        fleet, attempt->host, attempt->route, next, request,
        [&fleet, attempt](bool ok)
        {
            if (!attempt->ended)
            {
                complete_attempt(fleet, attempt, ok);
            }
        });
}

inline void serve_next(call_fleet& fleet, virtual_host& host)
{
    virtual_upstream& upstream = host.upstream;
    while (!upstream.waiting.empty() && upstream.busy < upstream.slots)
    {
        const attempt_pointer attempt = upstream.waiting.front();
        upstream.waiting.pop_front();
        if (attempt->ended)
        {
            continue;
        }
        ++upstream.busy;
        attempt->in_slot = true;
        const double factor =
            (0.5 + random_fraction(fleet.random)) * upstream.slow_factor;
        const duration mean =
            fleet.deployment.services[host.service].service_time;
        run_after(
            fleet.clock, from_seconds(to_seconds(mean) * factor),
            [&fleet, attempt]()
            {
                call_next_service(fleet, attempt);
            });
    }
}

inline void start_at_upstream(
    call_fleet& fleet, virtual_host& host, const attempt_pointer& attempt)
{
    attempt->started = true;
    host.upstream.waiting.push_back(attempt);
    serve_next(fleet, host);
}

inline void apply_gate_decisions(
    call_fleet& fleet, virtual_host& host, const gate_decisions& decisions)
{
    for (const auto& [entry_id, reason] : decisions)
    {
        const auto found = host.attempts.find(entry_id);
        if (found == host.attempts.end())
        {
            continue;
        }
        const attempt_pointer attempt = found->second;
        if (reason == refusal::none)
        {
            attempt->record = std::make_shared<call_record>(attempt->context);
            start_at_upstream(fleet, host, attempt);
            continue;
        }
        attempt_result result;
        result.status = attempt_status::refused;
        result.reason = reason;
        result.result = outcome::not_run;
        result.returned_allowance = attempt->context.retry_allowance;
        result.load = gate_report(host.gate, fleet.clock.now);
        end_attempt(fleet, attempt, result, gate_result::cancelled);
    }
}

// Ends an attempt whose deadline has passed. One that has started frees its
// slot at the upstream.
inline void expire_attempt(call_fleet& fleet, const attempt_pointer& attempt)
{
    if (attempt->ended)
    {
        return;
    }
    attempt_result result;
    result.status = attempt_status::timed_out;
    result.reason = refusal::deadline_exceeded;
    virtual_host& host = *fleet.hosts[attempt->host];
    if (!attempt->started)
    {
        const auto decisions =
            gate_cancel(host.gate, attempt->entry_id, fleet.clock.now);
        end_attempt(fleet, attempt, result, gate_result::cancelled);
        apply_gate_decisions(fleet, host, decisions);
        return;
    }
    release_slot(fleet, attempt);
    end_attempt(fleet, attempt, result, gate_result::timed_out);
}

inline void arrive(call_fleet& fleet, const attempt_pointer& attempt)
{
    virtual_host& host = *fleet.hosts[attempt->host];
    ++fleet.result.attempts[host.service];
    if (!host.is_up)
    {
        attempt->ended = true;
        attempt_result result;
        result.sent = false;
        attempt->done(result);
        return;
    }
    host.attempts.emplace(attempt->entry_id, attempt);
    run_after(
        fleet.clock, attempt->context.deadline - fleet.clock.now,
        [&fleet, attempt]()
        {
            expire_attempt(fleet, attempt);
        });
    gate_request request;
    request.entry_id = attempt->entry_id;
    request.context = attempt->context;
    apply_gate_decisions(
        fleet, host,
        gate_offer(host.gate, std::move(request), fleet.clock.now));
}

inline void
run_attempt(call_fleet& fleet, const call_pointer& call, const call_step& step)
{
    const auto attempt = std::make_shared<virtual_attempt>();
    attempt->host = static_cast<std::uint64_t>(step.target.location.host) -
                    static_cast<std::uint64_t>(fleet.hosts[0]->id);
    attempt->entry_id = fleet.next_id++;
    attempt->context = step.context;
    attempt->route = call->route;
    attempt->position = call->position;
    const duration delay = delay_between(fleet, call->node, attempt->host);
    attempt->done = [&fleet, call, delay](const attempt_result& result)
    {
        run_after(
            fleet.clock, delay,
            [&fleet, call, result]()
            {
                virtual_host& node = *fleet.hosts[call->node];
                const auto next = call_on_attempt(
                    node.path, call->state, result, fleet.clock.now,
                    fleet.random);
                call->state.answered =
                    call->state.answered && result.http_status < 500;
                run_step(fleet, call, next);
            });
    };
    run_after(
        fleet.clock, delay,
        [&fleet, attempt]()
        {
            arrive(fleet, attempt);
        });
}

inline void
run_step(call_fleet& fleet, const call_pointer& call, const call_step& step)
{
    virtual_host& node = *fleet.hosts[call->node];
    switch (step.kind)
    {
    case call_step_kind::attempt:
        run_attempt(fleet, call, step);
        return;
    case call_step_kind::deliver:
    case call_step_kind::refuse:
        break;
    default:
        assert(false && "these runs have no claims and no token waits");
    }
    const bool ok =
        step.kind == call_step_kind::deliver && call->state.answered;
    end_call(node.path, call->state, fleet.clock.now);
    call->done(ok);
}

inline void start_call(
    call_fleet& fleet, std::size_t node, std::size_t route,
    std::size_t position, const call_request& request,
    std::function<void(bool)> done)
{
    if (fleet.policy != overload_policy::adaptive)
    {
        const time_point deadline =
            request.parent ? request.parent->deadline : fleet.clock.now + 2s;
        start_baseline_call(fleet, {node, route, position, deadline}, done);
        return;
    }
    const auto call = std::make_shared<virtual_call>();
    call->state.id = fleet.next_id++;
    call->node = node;
    call->route = route;
    call->position = position;
    call->done = std::move(done);
    run_step(
        fleet, call,
        begin_call(
            fleet.hosts[node]->path, call->state, request, fleet.clock.now,
            fleet.random));
}

} // namespace cyclamenhold
