#include "adapters/local_gate.hpp"

#include "adapters/clock.hpp"
#include "adapters/http_fields.hpp"
#include "adapters/upstream_client.hpp"

#include <absl/strings/str_format.h>

#include <utility>

namespace cyclamenhold
{
namespace
{

void record(
    local_gate& gate, event_kind kind, const exchange& work, std::string detail)
{
    event recorded;
    recorded.kind = kind;
    recorded.trace = work.context.trace;
    recorded.workspace = work.context.workspace;
    recorded.request_id = field_value(
        work.head.headers, gate.services.profile.headers.request_id);
    recorded.detail = std::move(detail);
    gate.services.record(recorded);
}

void apply_decisions(local_gate& gate, const gate_decisions& decisions);

bool is_suspect_here(local_gate& gate, std::uint64_t digest)
{
    const auto view = gate.services.path.quarantine.read();
    return is_suspect(*view, digest);
}

// The host at which the request entered may not have received the quarantine,
// or the request has waited here since before it.
bool is_quarantined_here(local_gate& gate, std::uint64_t digest)
{
    const auto view = gate.services.path.quarantine.read();
    return is_quarantined(*view, digest);
}

// Reports a crash of the upstream. Requests of which others have just succeeded
// have not caused it.
void report_crash(local_gate& gate, std::vector<std::uint64_t> digests)
{
    std::erase_if(
        digests,
        [&gate](std::uint64_t digest)
        {
            return has_succeeded(gate, digest);
        });
    gate.on_crash(digests);
}

// Checks after a failure whether the upstream has crashed. Records a success,
// and reports that of a suspect. A server error is no success: the upstream may
// have ended a request that crashes it when its time was over.
void record_request_end(
    local_gate& gate, const exchange& work,
    const asio::ip::tcp::endpoint& endpoint,
    const upstream_connection_ptr& connection, const upstream_result& ended)
{
    const std::uint64_t digest = work.context.digest;
    if (ended.result == gate_result::failed)
    {
        record_broken_request(
            gate.crashes, connection->stream.get_executor(), endpoint,
            ended.broke ? std::optional(digest) : std::nullopt, now(),
            [&gate](const std::vector<std::uint64_t>& digests)
            {
                report_crash(gate, digests);
            });
        return;
    }
    if (ended.result != gate_result::replied)
    {
        if (ended.result != gate_result::shed && !work.unsent)
        {
            record_left_request(gate.crashes, digest, now());
        }
        return;
    }
    if (ended.is_error)
    {
        return;
    }
    {
        const std::scoped_lock lock(gate.successes_mutex);
        record_success(gate.successes, digest, now());
    }
    if (is_suspect_here(gate, digest))
    {
        gate.on_suspect_success(digest);
    }
}

// Applies what a reply on this connection says about the upstream.
void apply_notice(
    local_gate& gate, const upstream_connection& connection,
    const upstream_notice& notice)
{
    const auto incarnation = incarnation_of(gate.pool, connection);
    if (!incarnation)
    {
        return;
    }
    bool is_first_leave = false;
    bool becomes_cold = false;
    gate_decisions decisions;
    {
        const std::scoped_lock lock(gate.mutex);
        if (notice.is_leaving)
        {
            is_first_leave =
                std::exchange(gate.leaving_incarnation, *incarnation) !=
                *incarnation;
        }
        becomes_cold = notice.cold > duration::zero() &&
                       gate.gate.upstream.state == upstream_state::serving;
        if (notice.rate != gate.gate.cap.rate)
        {
            decisions = gate_set_rate(gate.gate, notice.rate, now());
        }
    }
    if (is_first_leave)
    {
        gate.on_leaving(*incarnation);
    }
    if (becomes_cold)
    {
        gate.on_cold(*incarnation, notice.cold);
    }
    apply_decisions(gate, decisions);
}

// Fills in the upstream that is at the host now. False if it is not of the
// service for which the gate started the request.
bool fill_upstream(upstream_pool& pool, upstream_call& call)
{
    const std::scoped_lock lock(pool.mutex);
    call.endpoint = pool.endpoint;
    call.upstream_id = pool.upstream_id;
    const service_id wanted = call.work->context.service;
    return wanted == service_id::none || wanted == pool.service;
}

// Ends a started request that has not been sent to the upstream.
upstream_result refuse_started(const upstream_call& call)
{
    set_abort(*call.work, nullptr);
    fail(
        *call.work, {refusal::no_upstream, outcome::not_run}, call.report(),
        call.returned_allowance());
    return {gate_result::cancelled, false, false};
}

// Sends one started request to the upstream and records its result at the gate.
asio::awaitable<void> run_started(
    local_gate* gate, exchange_ptr work, gate_entry_id entry_id,
    upstream_connection_ptr connection)
{
    const auto request = begin_running(gate->handles, work->context);
    upstream_call call;
    call.work = work;
    call.connection = connection;
    const bool is_right_service = fill_upstream(gate->pool, call);
    call.handle = request->handle;
    call.names = &gate->services.profile.headers;
    call.body_stall_timeout = gate->services.limits.body_stall_timeout;
    call.report = [gate, record = request->record]
    {
        load_report report = report_of(*gate);
        report.downstream = record->downstream.read();
        return report;
    };
    call.on_notice = [gate, connection](const upstream_notice& notice)
    {
        apply_notice(*gate, *connection, notice);
    };
    call.returned_allowance = [record = request->record]
    {
        return record->allowance.close();
    };
    const auto endpoint = call.endpoint;
    const upstream_result ended = is_right_service
                                      ? co_await call_upstream(std::move(call))
                                      : refuse_started(call);
    end_running(gate->handles, request);
    if (ended.reusable)
    {
        return_connection(gate->pool, connection);
    }
    gate_decisions decisions;
    {
        const std::scoped_lock lock(gate->mutex);
        decisions = gate_finish(
            gate->gate, entry_id, ended.result, now(),
            request->record->child_wait.total(now()));
    }
    --gate->running;
    observe_end(
        gate->services.path.trees, entry_id,
        ended.result == gate_result::replied && !ended.is_error, now());
    record_request_end(*gate, *work, endpoint, connection, ended);
    apply_decisions(*gate, decisions);
}

void start(local_gate& gate, const exchange_ptr& work, gate_entry_id entry_id)
{
    ++gate.running;
    observe_start(
        gate.services.path.trees, entry_id, work->context.route,
        work->context.depth > 0, work->context.deadline, now());
    record(gate, event_kind::gate_started, *work, {});
    auto connection = take_connection(
        gate.pool, work->body.get_executor(),
        field_value(
            work->head.headers, gate.services.profile.headers.request_id));
    const auto executor = connection->stream.get_executor();
    asio::co_spawn(
        executor, run_started(&gate, work, entry_id, std::move(connection)),
        asio::detached);
}

void refuse(local_gate& gate, const exchange_ptr& work, refusal reason)
{
    const bool lacks_capacity =
        reason == refusal::overloaded || reason == refusal::deadline_exceeded;
    if (work->context.depth > 0 && lacks_capacity)
    {
        observe_refused_call(gate.services.path.trees);
    }
    const load_report load = report_of(gate);
    const auto cold = cold_rate_of(gate);
    record(
        gate, event_kind::gate_refused, *work,
        absl::StrFormat(
            "%s; %d running of %d, %d queued, %d ms left%s", name_of(reason),
            load.in_flight, load.limit, load.queued,
            to_milliseconds(work->context.deadline - now()),
            cold ? absl::StrFormat(", cold: %.1f a second", *cold) : ""));
    fail(*work, {reason, outcome::not_run}, load);
}

// Ends a request that the gate has started and that does not run.
void release_slot(local_gate& gate, gate_entry_id entry_id)
{
    gate_decisions decisions;
    {
        const std::scoped_lock lock(gate.mutex);
        decisions = gate_cancel(gate.gate, entry_id, now());
    }
    apply_decisions(gate, decisions);
}

void apply_decisions(local_gate& gate, const gate_decisions& decisions)
{
    for (const auto& [entry_id, reason] : decisions)
    {
        exchange_ptr work;
        {
            const std::scoped_lock lock(gate.mutex);
            const auto found = gate.waiting.find(entry_id);
            if (found == gate.waiting.end())
            {
                continue;
            }
            work = std::move(found->second);
            gate.waiting.erase(found);
        }
        if (reason != refusal::none)
        {
            refuse(gate, work, reason);
            continue;
        }
        if (is_quarantined_here(gate, work->context.digest))
        {
            refuse(gate, work, refusal::quarantined);
            release_slot(gate, entry_id);
            continue;
        }
        start(gate, work, entry_id);
    }
}

// Cancels a request that does not run yet. Its slot is released if the gate has
// already decided to start it.
void cancel_waiting(local_gate& gate, gate_entry_id entry_id)
{
    gate_decisions decisions;
    {
        const std::scoped_lock lock(gate.mutex);
        if (gate.waiting.erase(entry_id) == 0)
        {
            return;
        }
        decisions = gate_cancel(gate.gate, entry_id, now());
    }
    apply_decisions(gate, decisions);
}

void offer(local_gate& gate, const exchange_ptr& work)
{
    const gate_entry_id entry_id = gate.next_entry_id++;
    const bool suspect = is_suspect_here(gate, work->context.digest);
    // Set before the offer: once the request is offered, another thread may
    // start it and set the function that ends its run.
    set_abort(
        *work,
        [&gate, entry_id]
        {
            cancel_waiting(gate, entry_id);
        });
    gate_decisions decisions;
    {
        const std::scoped_lock lock(gate.mutex);
        gate.waiting.emplace(entry_id, work);
        decisions = gate_offer(
            gate.gate, {entry_id, work->context, now(), suspect}, now());
    }
    if (work->cancelled)
    {
        // A cancellation before the offer has found nothing to remove.
        cancel_waiting(gate, entry_id);
    }
    apply_decisions(gate, decisions);
}

} // namespace

void run_at_gate(local_gate& gate, const exchange_ptr& work)
{
    if (work->target_incarnation != 0 &&
        work->target_incarnation != gate.services.self_incarnation)
    {
        refuse(gate, work, refusal::no_upstream);
        return;
    }
    if (work->context.claim.steward_epoch == 0)
    {
        offer(gate, work);
        return;
    }
    gate.check_claim(
        work->context.claim,
        [&gate, work](bool accepted)
        {
            if (accepted)
            {
                offer(gate, work);
                return;
            }
            refuse(gate, work, refusal::claim_unavailable);
        });
}

bool has_succeeded(local_gate& gate, std::uint64_t digest)
{
    const std::scoped_lock lock(gate.successes_mutex);
    return has_recent_success(gate.successes, digest, now());
}

void set_upstream(
    local_gate& gate, const upstream_record& record,
    const upstream_address& address)
{
    const bool is_new_process = record.state != upstream_state::absent &&
                                set_address(gate.pool, address);
    gate_decisions decisions;
    {
        const std::scoped_lock lock(gate.mutex);
        if (is_new_process)
        {
            cap_set(gate.gate.cap, std::nullopt, now());
            cap_set(gate.gate.cold, std::nullopt, now());
        }
        decisions = gate_set_upstream(gate.gate, record, now());
    }
    apply_decisions(gate, decisions);
}

void set_evacuated(local_gate& gate, bool is_evacuated)
{
    gate_decisions decisions;
    {
        const std::scoped_lock lock(gate.mutex);
        decisions = gate_set_evacuated(gate.gate, is_evacuated, now());
    }
    apply_decisions(gate, decisions);
}

void tick_gate(local_gate& gate)
{
    gate_decisions decisions;
    {
        const std::scoped_lock lock(gate.mutex);
        decisions = gate_tick(gate.gate, now());
    }
    apply_decisions(gate, decisions);
}

load_report report_of(local_gate& gate)
{
    const std::scoped_lock lock(gate.mutex);
    return gate_report(gate.gate, now());
}

std::uint32_t usable_limit_of(local_gate& gate)
{
    const std::scoped_lock lock(gate.mutex);
    return gate_accepts(gate.gate) ? gate_report(gate.gate, now()).limit : 0;
}

std::optional<double> cold_rate_of(local_gate& gate)
{
    const std::scoped_lock lock(gate.mutex);
    return gate.gate.cold.rate;
}

bool has_waiting_requests(local_gate& gate)
{
    const std::scoped_lock lock(gate.mutex);
    return !gate.waiting.empty();
}

std::size_t count_requests(local_gate& gate)
{
    const std::scoped_lock lock(gate.mutex);
    return gate.waiting.size() + gate.running;
}

} // namespace cyclamenhold
