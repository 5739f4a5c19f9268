// End-to-end calls over the virtual fleet: callers, request paths, claims, the
// upstream gate and an upstream on each host, with a record of the requests
// that the upstreams ran.
#pragma once

#include "core/gate/gate.hpp"
#include "support/virtual_fleet.hpp"

#include <map>
#include <string>
#include <utility>

namespace cyclamenhold::testing_support
{

// One request of a caller and its progress.
struct virtual_call
{
    std::uint64_t id = 0;
    host_id entry_host = host_id::none;
    std::uint64_t entry_incarnation = 0;
    call_request request;
    call_state state;
    // Number of the current attempt; results of earlier ones are ignored.
    std::uint32_t attempt = 0;
    std::uint32_t runs = 0;
    bool ended = false;
    refusal reason = refusal::none;
    outcome reported_outcome = outcome::unknown;
};

struct upstream_run
{
    host_id host = host_id::none;
    std::uint64_t incarnation = 0;
    std::uint64_t call = 0;
    std::uint32_t attempt = 0;
};

class virtual_calls
{
public:
    explicit virtual_calls(virtual_fleet& fleet) : fleet_(fleet)
    {
        fleet.on_started = [this](virtual_node& node)
        {
            set_up_node(node);
        };
        fleet.on_token =
            [this](virtual_node& node, token_waiter waiter, bool admitted)
        {
            auto& call = calls.at(waiter);
            perform_step(
                node, call,
                call_on_token(
                    *node.path, call.state, admitted, fleet_.local_now(node),
                    node.random));
        };
        fleet.on_claim = [this](virtual_node& node, const claim_answer& answer)
        {
            auto& call = calls.at(answer.token);
            perform_step(
                node, call,
                call_on_claim(
                    *node.path, call.state, answer, fleet_.local_now(node),
                    node.random));
        };
    }

    std::map<std::uint64_t, virtual_call> calls;
    // Number of runs at the upstreams by idempotency key.
    std::map<std::string, std::uint32_t> runs_of_key;
    // Describes a violated guarantee; empty when there is none.
    std::string violation;
    std::uint64_t delivered = 0;

    // A caller sends a request with this idempotency key to a node.
    void begin(
        virtual_node& node, const std::string& idempotency_key,
        std::string_view key)
    {
        if (!node.up || fleet_.is_paused(node))
        {
            return;
        }
        const std::uint64_t id = ++last_id_;
        virtual_call& call = calls[id];
        call.id = id;
        call.entry_host = node.host;
        call.entry_incarnation = node.incarnation;
        call.state.id = id;
        call.request.method = "POST";
        call.request.target = "/book";
        call.request.key = std::string(key);
        call.request.idempotency_key = idempotency_key;
        perform_step(
            node, call,
            begin_call(
                *node.path, call.state, call.request, fleet_.local_now(node),
                node.random));
        if (key == invalid_key &&
            (!call.ended || call.reason != refusal::unauthenticated))
        {
            violation = "a wrong key was accepted";
        }
    }

private:
    void set_up_node(virtual_node& node)
    {
        node.path->fleet_secret = "fleet";
        node.path->tables.publish(std::make_unique<const request_tables>(
            build_request_tables(*fleet_.settings)));
        std::vector<upstream_location> locations;
        for (const auto& [host, other] : fleet_.nodes)
        {
            locations.push_back(
                {host, other->incarnation, other->data_centre, upstream()});
        }
        node.path->routing.publish(std::make_unique<const routing_view>(
            build_routing_view(locations, node.data_centre, routing_view{})));
        gate_state gate;
        (void)gate_set_upstream(gate, upstream(), fleet_.local_now(node));
        gates_[node.host] = std::move(gate);
    }

    static attempt_result
    result_of(attempt_status status, refusal reason, outcome result)
    {
        attempt_result ended;
        ended.status = status;
        ended.reason = reason;
        ended.result = result;
        return ended;
    }

    static upstream_record upstream()
    {
        return {"bookings", upstream_state::serving, 50, 100, 1};
    }

    bool is_entry_running(const virtual_call& call) const
    {
        const virtual_node& node = *fleet_.nodes.at(call.entry_host);
        return node.up && node.incarnation == call.entry_incarnation;
    }

    void
    perform_step(virtual_node& node, virtual_call& call, const call_step& next)
    {
        switch (next.kind)
        {
        case call_step_kind::wait_for_token:
            return;
        case call_step_kind::request_claim:
            fleet_.run_on_node(
                node,
                [&](control_state& control, time_point now,
                    random_source& random, control_actions& actions)
                {
                    claims_request(
                        control.claims, inputs_of_claims(control),
                        next.requested_claim, now, random, actions);
                });
            return;
        case call_step_kind::attempt:
            send_attempt(node, call, next);
            return;
        case call_step_kind::refuse:
            end(node, call, next.reason, next.result);
            return;
        case call_step_kind::answer_stored:
            check_reply(call, next.reply.body);
            end(node, call, refusal::none, outcome::ran);
            return;
        case call_step_kind::deliver:
            ++delivered;
            end(node, call, refusal::none, outcome::ran);
            return;
        }
    }

    static std::string reply_of(const virtual_call& call)
    {
        return "booked " + call.request.idempotency_key;
    }

    void check_reply(const virtual_call& call, const std::string& body)
    {
        if (body != reply_of(call))
        {
            violation = "reply of another request: " + body;
        }
    }

    void
    end(virtual_node& node, virtual_call& call, refusal reason,
        outcome reported_outcome)
    {
        call.ended = true;
        call.reason = reason;
        call.reported_outcome = reported_outcome;
        if (reported_outcome == outcome::not_run && call.runs > 0)
        {
            violation = "a request that ran was reported as not-run";
        }
        end_call(*node.path, call.state, fleet_.local_now(node));
        if (call.state.context.claim.steward_epoch == 0)
        {
            return;
        }
        claim_completion completion;
        completion.grant = call.state.context.claim;
        completion.workspace = call.state.context.workspace;
        completion.idempotency_key = call.request.idempotency_key;
        completion.result = reported_outcome;
        completion.reply = {200, "text/plain", reply_of(call)};
        fleet_.run_on_node(
            node,
            [&](control_state& control, time_point now, random_source& random,
                control_actions& actions)
            {
                claims_complete(
                    control.claims, inputs_of_claims(control), completion, now,
                    random, actions);
            });
    }

    void
    send_attempt(virtual_node& node, virtual_call& call, const call_step& next)
    {
        const std::uint32_t attempt = ++call.attempt;
        virtual_node& target = *fleet_.nodes.at(next.target.location.host);
        request_context context = next.context;
        const time_point local = fleet_.local_now(node);
        const duration claim_remaining = context.claim.valid_until - local;
        const duration remaining = context.deadline - local;
        fleet_.network.transmit(
            node, target, transport::stream,
            [this, &target, id = call.id, attempt, context, claim_remaining,
             remaining]
            {
                arrive(
                    target, id, attempt, context, claim_remaining, remaining);
            });
        fleet_.network.at(
            fleet_.now() + std::min(remaining, duration(2s)),
            [this, id = call.id, attempt]
            {
                finish_attempt(
                    id, attempt,
                    result_of(
                        attempt_status::timed_out, refusal::none,
                        outcome::unknown));
            });
    }

    void arrive(
        virtual_node& target, std::uint64_t id, std::uint32_t attempt,
        request_context context, duration claim_remaining, duration remaining)
    {
        const time_point local = fleet_.local_now(target);
        context.claim.valid_until = local + claim_remaining;
        context.deadline = local + remaining;
        if (!claims_accept_at_gate(
                target.control->claims, context.claim, local))
        {
            refuse(target, id, attempt, refusal::claim_unavailable);
            return;
        }
        const gate_entry_id entry_id = ++last_entry_id_;
        runs_[entry_id] = {target.host, target.incarnation, id, attempt};
        apply_decisions(
            target,
            gate_offer(gates_[target.host], {entry_id, context, local}, local));
    }

    void apply_decisions(virtual_node& target, const gate_decisions& decisions)
    {
        for (const auto& decision : decisions)
        {
            const upstream_run run = runs_.at(decision.entry_id);
            if (decision.reason != refusal::none)
            {
                refuse(target, run.call, run.attempt, decision.reason);
                continue;
            }
            record_run(run);
            const duration service =
                std::chrono::milliseconds(5 + random_below(fleet_.random, 60));
            fleet_.network.at(
                fleet_.now() + service,
                [this, entry_id = decision.entry_id]
                {
                    finish_run(entry_id);
                });
        }
    }

    void record_run(const upstream_run& run)
    {
        virtual_call& call = calls.at(run.call);
        ++call.runs;
        if (call.ended && call.reported_outcome == outcome::not_run)
        {
            violation = "a request ran after it was reported as not-run";
        }
        const std::string& key = call.request.idempotency_key;
        if (call.runs > 1 || (!key.empty() && ++runs_of_key[key] > 1))
        {
            violation = "ran twice: " + key;
        }
    }

    void finish_run(gate_entry_id entry_id)
    {
        const upstream_run run = runs_.at(entry_id);
        virtual_node& target = *fleet_.nodes.at(run.host);
        if (!target.up || target.incarnation != run.incarnation)
        {
            return;
        }
        apply_decisions(
            target, gate_finish(
                        gates_[run.host], entry_id, gate_result::replied,
                        fleet_.local_now(target)));
        answer(
            target, run.call, run.attempt,
            result_of(attempt_status::replied, refusal::none, outcome::ran));
    }

    void refuse(
        virtual_node& target, std::uint64_t id, std::uint32_t attempt,
        refusal reason)
    {
        answer(
            target, id, attempt,
            result_of(attempt_status::refused, reason, outcome::not_run));
    }

    void answer(
        virtual_node& target, std::uint64_t id, std::uint32_t attempt,
        const attempt_result& result)
    {
        fleet_.network.transmit(
            target, *fleet_.nodes.at(calls.at(id).entry_host),
            transport::stream,
            [this, id, attempt, result]
            {
                finish_attempt(id, attempt, result);
            });
    }

    void finish_attempt(
        std::uint64_t id, std::uint32_t attempt, const attempt_result& result)
    {
        virtual_call& call = calls.at(id);
        virtual_node& node = *fleet_.nodes.at(call.entry_host);
        if (call.ended || call.attempt != attempt || !is_entry_running(call))
        {
            return;
        }
        if (fleet_.is_paused(node))
        {
            fleet_.network.at(
                node.paused_until,
                [this, id, attempt, result]
                {
                    finish_attempt(id, attempt, result);
                });
            return;
        }
        perform_step(
            node, call,
            call_on_attempt(
                *node.path, call.state, result, fleet_.local_now(node),
                node.random));
    }

    virtual_fleet& fleet_;
    std::uint64_t last_id_ = 0;
    gate_entry_id last_entry_id_ = 0;
    std::map<host_id, gate_state> gates_;
    std::map<gate_entry_id, upstream_run> runs_;
};

} // namespace cyclamenhold::testing_support
