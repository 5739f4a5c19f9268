#include "core/gate/gate.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenhold
{
namespace
{

// The queue holds the limit divided by this. A queued request also occupies
// slots of the services that wait for it.
constexpr std::size_t queue_divisor = 4;
constexpr std::size_t min_queue_size = 8;
constexpr std::size_t max_waiting_suspects = 64;

bool is_accepting(const gate_state& gate)
{
    return !gate.is_evacuated &&
           (gate.upstream.state == upstream_state::serving ||
            gate.upstream.state == upstream_state::warming);
}

// Why a gate that does not accept requests refuses them.
refusal reason_not_accepting(const gate_state& gate)
{
    return gate.is_evacuated ? refusal::evacuated : refusal::draining;
}

// True for a request whose sender has not received yet that an upstream of
// another service has taken the place of the former one.
bool is_for_other_service(
    const gate_state& gate, const request_context& context)
{
    return context.service != service_id::none &&
           context.service != gate.service;
}

// The limit of the upstream, or the lower concurrency that its rate sustains.
// Bounds the queue and is reported to other nodes. It does not bound what runs:
// single requests may take longer than the mean.
std::uint32_t sustained_limit(const gate_state& gate, time_point now)
{
    double limit = current_limit(gate.limit, now);
    for (const rate_cap* cap : {&gate.cap, &gate.cold})
    {
        limit = std::min(
            limit,
            capped_concurrency(*cap, gate.limit.mean_latency).value_or(limit));
    }
    return static_cast<std::uint32_t>(std::lround(limit));
}

std::size_t queue_bound(const gate_state& gate, time_point now)
{
    const std::size_t limit = sustained_limit(gate, now);
    // With a reservation for calls, most queued requests are child calls. They
    // are short, and the requests that wait for them have already used
    // capacity, so the queue may be longer.
    const bool reserves_for_calls = gate.settings.reserved_for_calls > 0.0;
    return std::max(
        min_queue_size, reserves_for_calls ? limit : limit / queue_divisor);
}

bool may_start(const gate_state& gate, time_point now)
{
    return gate.running.size() < current_limit(gate.limit, now) &&
           cap_allows(gate.cap, now) && cap_allows(gate.cold, now);
}

// Root requests leave a part of the limit to child calls.
bool has_free_root_slot(const gate_state& gate, time_point now)
{
    const double limit = current_limit(gate.limit, now);
    const double share = 1.0 - gate.settings.reserved_for_calls;
    return static_cast<double>(gate.running_roots) <
           std::max(1.0, limit * share);
}

void refuse_all(
    gate_decisions& decisions, const std::vector<gate_request>& requests,
    refusal reason)
{
    for (const auto& request : requests)
    {
        decisions.push_back({request.entry_id, reason});
    }
}

void start(
    gate_state& gate, const gate_request& request, time_point now,
    gate_decisions& decisions)
{
    const auto running = static_cast<std::uint32_t>(gate.running.size() + 1);
    gate.running.emplace(
        request.entry_id, gate_running{
                              limit_record_start(gate.limit, running, now),
                              request.context.digest, request.context.priority,
                              request.suspect, request.context.depth == 0});
    gate.running_roots += request.context.depth == 0 ? 1 : 0;
    cap_record_start(gate.cap, now);
    cap_record_start(gate.cold, now);
    gate.suspect_running = gate.suspect_running || request.suspect;
    admission_record_start(
        gate.admission, request.context.priority, now - request.arrived);
    decisions.push_back({request.entry_id, refusal::none});
}

// A request that cannot finish before its deadline would waste its slot.
bool cannot_finish_in_time(
    const gate_state& gate, const gate_request& request, time_point now)
{
    return request.context.deadline - now <= gate.limit.mean_latency / 2;
}

// How long before its deadline a queued request is refused. It could not finish
// in time, and its caller's node receives the not-run outcome while it still
// waits.
duration early_refusal_margin(const gate_state& gate)
{
    if (!gate.settings.refuses_before_deadline)
    {
        return duration::zero();
    }
    constexpr duration shortest = 10ms;
    constexpr duration longest = 250ms;
    return std::clamp(duration(gate.limit.mean_latency / 2), shortest, longest);
}

void start_suspect(gate_state& gate, time_point now, gate_decisions& decisions)
{
    if (gate.suspects.empty() || gate.suspect_running || !may_start(gate, now))
    {
        return;
    }
    const gate_request request = std::move(gate.suspects.front());
    gate.suspects.pop_front();
    queue_record_served(gate.queue, request.context, now);
    start(gate, request, now, decisions);
}

void start_queued(gate_state& gate, time_point now, gate_decisions& decisions)
{
    refuse_all(
        decisions,
        queue_take_expired(gate.queue, now + early_refusal_margin(gate)),
        refusal::deadline_exceeded);
    start_suspect(gate, now, decisions);
    const queue_order order = gate.admission.overloaded
                                  ? queue_order::newest_first
                                  : queue_order::oldest_first;
    while (queue_size(gate.queue) > 0 && may_start(gate, now))
    {
        // Child calls are of the most important class.
        const priority_class lowest = has_free_root_slot(gate, now)
                                          ? priority_class::low
                                          : priority_class::critical;
        const auto popped = queue_pop(gate.queue, order, now, lowest);
        if (!popped)
        {
            return;
        }
        const gate_request& request = *popped;
        if (cannot_finish_in_time(gate, request, now))
        {
            admission_record_refusal(gate.admission, request.context.priority);
            decisions.push_back({request.entry_id, refusal::deadline_exceeded});
            continue;
        }
        start(gate, request, now, decisions);
    }
}

void refuse_waiting(gate_state& gate, gate_decisions& decisions, refusal reason)
{
    refuse_all(decisions, queue_take_all(gate.queue), reason);
    for (const auto& request : gate.suspects)
    {
        decisions.push_back({request.entry_id, reason});
    }
    gate.suspects.clear();
}

void drop_expired_suspects(
    gate_state& gate, time_point now, gate_decisions& decisions)
{
    std::erase_if(
        gate.suspects,
        [&](const gate_request& request)
        {
            if (request.context.deadline > now)
            {
                return false;
            }
            decisions.push_back({request.entry_id, refusal::deadline_exceeded});
            return true;
        });
}

void enqueue(
    gate_state& gate, gate_request request, time_point now,
    gate_decisions& decisions)
{
    if (request.suspect)
    {
        if (gate.suspects.size() >= max_waiting_suspects)
        {
            decisions.push_back({request.entry_id, refusal::overloaded});
            return;
        }
        gate.suspects.push_back(std::move(request));
        return;
    }
    if (queue_size(gate.queue) >= queue_bound(gate, now))
    {
        const auto displaced = queue_evict(gate.queue, request);
        admission_record_refusal(
            gate.admission,
            displaced ? displaced->context.priority : request.context.priority);
        if (!displaced)
        {
            decisions.push_back({request.entry_id, refusal::overloaded});
            return;
        }
        decisions.push_back({displaced->entry_id, refusal::overloaded});
    }
    queue_push(gate.queue, std::move(request));
}

} // namespace

gate_decisions gate_set_upstream(
    gate_state& gate, const upstream_record& record, time_point now)
{
    gate_decisions decisions;
    gate.upstream = record;
    const service_id former =
        std::exchange(gate.service, service_id_of(record.service));
    gate.limit.is_announcement_exact = gate.settings.has_exact_slots;
    limit_announce(
        gate.limit, record.slots, record.connections,
        record.state == upstream_state::warming, now);
    apply_cold_bound(gate.cold, record, gate.settings.cold, now);
    if (!is_accepting(gate))
    {
        refuse_waiting(gate, decisions, reason_not_accepting(gate));
        return decisions;
    }
    if (gate.service != former)
    {
        refuse_waiting(gate, decisions, refusal::no_upstream);
    }
    start_queued(gate, now, decisions);
    return decisions;
}

gate_decisions
gate_set_evacuated(gate_state& gate, bool is_evacuated, time_point now)
{
    gate_decisions decisions;
    gate.is_evacuated = is_evacuated;
    if (!is_accepting(gate))
    {
        refuse_waiting(gate, decisions, reason_not_accepting(gate));
        return decisions;
    }
    start_queued(gate, now, decisions);
    return decisions;
}

gate_decisions
gate_set_rate(gate_state& gate, std::optional<double> rate, time_point now)
{
    gate_decisions decisions;
    cap_set(gate.cap, rate, now);
    if (is_accepting(gate))
    {
        start_queued(gate, now, decisions);
    }
    return decisions;
}

gate_decisions
gate_offer(gate_state& gate, gate_request request, time_point now)
{
    if (!is_accepting(gate))
    {
        return {{request.entry_id, reason_not_accepting(gate)}};
    }
    if (is_for_other_service(gate, request.context))
    {
        return {{request.entry_id, refusal::no_upstream}};
    }
    if (request.context.deadline <= now)
    {
        return {{request.entry_id, refusal::deadline_exceeded}};
    }
    gate_decisions decisions;
    request.arrived = now;
    admission_record_offer(gate.admission, request.context);
    enqueue(gate, std::move(request), now, decisions);
    start_queued(gate, now, decisions);
    return decisions;
}

gate_decisions gate_finish(
    gate_state& gate, gate_entry_id entry_id, gate_result result,
    time_point now, duration child_wait)
{
    gate_decisions decisions;
    const auto found = gate.running.find(entry_id);
    if (found == gate.running.end())
    {
        return decisions;
    }
    const gate_running ended = found->second;
    const auto running = static_cast<std::uint32_t>(gate.running.size());
    gate.running.erase(found);
    gate.running_roots -= ended.is_root ? 1 : 0;
    if (ended.suspect)
    {
        gate.suspect_running = false;
    }
    if (result == gate_result::shed)
    {
        admission_record_refusal(gate.admission, ended.priority);
        limit_record_shed(gate.limit, running, now);
    }
    else if (result != gate_result::cancelled)
    {
        limit_record_end(gate.limit, ended.sample, child_wait, now);
    }
    if (is_accepting(gate))
    {
        start_queued(gate, now, decisions);
    }
    return decisions;
}

gate_decisions
gate_cancel(gate_state& gate, gate_entry_id entry_id, time_point now)
{
    if (gate.running.contains(entry_id))
    {
        return gate_finish(gate, entry_id, gate_result::cancelled, now);
    }
    gate_decisions decisions;
    if (!queue_remove(gate.queue, entry_id))
    {
        std::erase_if(
            gate.suspects,
            [entry_id](const gate_request& request)
            {
                return request.entry_id == entry_id;
            });
    }
    if (is_accepting(gate))
    {
        start_queued(gate, now, decisions);
    }
    return decisions;
}

gate_decisions gate_tick(gate_state& gate, time_point now)
{
    gate_decisions decisions;
    limit_tick(gate.limit, now);
    admission_tick(gate.admission, gate.limit.mean_latency, now);
    drop_expired_suspects(gate, now, decisions);
    if (is_accepting(gate))
    {
        start_queued(gate, now, decisions);
    }
    return decisions;
}

bool gate_accepts(const gate_state& gate)
{
    return is_accepting(gate);
}

load_report gate_report(const gate_state& gate, time_point now)
{
    load_report report;
    report.in_flight = static_cast<std::uint32_t>(gate.running.size());
    report.queued = static_cast<std::uint32_t>(
        queue_size(gate.queue) + gate.suspects.size());
    report.limit = sustained_limit(gate, now);
    report.latency = gate.limit.mean_latency;
    report.level = level_of(gate.admission);
    return report;
}

std::vector<std::uint64_t> gate_running_digests(const gate_state& gate)
{
    std::vector<std::uint64_t> digests;
    for (const auto& [entry_id, running] : gate.running)
    {
        digests.push_back(running.digest);
    }
    std::ranges::sort(digests);
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    return digests;
}

} // namespace cyclamenhold
