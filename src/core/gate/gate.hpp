// The last gate before an upstream: how many requests run at once, which wait,
// in which order, and which are refused. A plain structure under the caller's
// lock; every function takes the time and returns verdicts.
#pragma once

#include "core/base/request_context.hpp"
#include "core/base/time.hpp"
#include "core/gate/admission.hpp"
#include "core/gate/concurrency_limit.hpp"
#include "core/gate/fair_queue.hpp"
#include "core/routing/upstream.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

// What happens to a request that was offered, now or earlier.
struct gate_decision
{
    gate_entry_id entry_id = 0;
    // Run it when `none`; otherwise it has not run and never will.
    refusal reason = refusal::none;
};

using gate_decisions = std::vector<gate_decision>;

// How a started request ended, for learning the limit.
enum class gate_result : std::uint8_t
{
    replied,
    // The upstream itself refused for load.
    shed,
    failed,
    timed_out,
    cancelled
};

struct gate_running
{
    limit_sample_start sample;
    std::uint64_t digest = 0;
    priority_class priority = priority_class::normal;
    bool suspect = false;
    // Entered here from a caller, not from an upstream that waits for it.
    bool is_root = false;
};

struct gate_settings
{
    // See concurrency_limit.
    bool has_exact_slots = false;
    // The part of the limit that roots leave to calls: upstreams that all wait
    // for calls to each other would otherwise never end.
    double reserved_for_calls = 0.0;
    // Queued requests that could no longer end in time are given up before
    // their deadline, so that their callers hear that they have not run.
    bool refuses_before_deadline = false;
};

struct gate_state
{
    gate_settings settings;
    upstream_record upstream;
    concurrency_limit limit;
    std::unordered_map<gate_entry_id, gate_running> running;
    fair_queue queue;
    // Suspects wait here and run one at a time, so that a death that happens
    // beside a suspect points at one request.
    std::deque<gate_request> suspects;
    bool suspect_running = false;
    std::size_t running_roots = 0;
    admission_control admission;
};

// Takes a new announcement of the local upstream. A draining or absent one
// starts nothing more; what is queued is refused.
[[nodiscard]] gate_decisions gate_set_upstream(
    gate_state& gate, const upstream_record& record, time_point now);

// Offers a request. It is started, refused or queued; when queued, its verdict
// comes from a later call. The verdicts may also refuse a less important
// request that was queued before.
[[nodiscard]] gate_decisions
gate_offer(gate_state& gate, gate_request request, time_point now);

// A started request ended, after it waited `child_wait` for its child calls
// (call_record::child_wait).
[[nodiscard]] gate_decisions gate_finish(
    gate_state& gate, gate_entry_id entry_id, gate_result result,
    time_point now, duration child_wait = {});

// The caller of a queued request has gone. Returns verdicts for others; a
// started request is finished with gate_finish instead.
[[nodiscard]] gate_decisions
gate_cancel(gate_state& gate, gate_entry_id entry_id, time_point now);

// Drops expired work and adapts the limit. Called at least every 10 ms while
// requests are queued or running.
[[nodiscard]] gate_decisions gate_tick(gate_state& gate, time_point now);

// The report that rides on replies.
[[nodiscard]] load_report gate_report(const gate_state& gate, time_point now);

// The digests of all running requests, for the report of a death.
[[nodiscard]] std::vector<std::uint64_t>
gate_running_digests(const gate_state& gate);

} // namespace cyclamenhold
