// The upstream gate: the limit and queue before an upstream, at its own node.
// It decides how many requests run at once, which requests wait and in which
// order, and which are refused. A plain struct under the caller's lock; every
// function takes the time and returns decisions.
#pragma once

#include "core/base/request_context.hpp"
#include "core/base/time.hpp"
#include "core/gate/admission.hpp"
#include "core/gate/cold_bound.hpp"
#include "core/gate/concurrency_limit.hpp"
#include "core/gate/fair_queue.hpp"
#include "core/gate/rate_cap.hpp"
#include "core/routing/upstream.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

// The decision on a request that was offered in this call or earlier.
struct gate_decision
{
    gate_entry_id entry_id = 0;
    // `none`: start the request. Otherwise it has not run and will not run.
    refusal reason = refusal::none;
};

using gate_decisions = std::vector<gate_decision>;

// How a started request ended. Used to adapt the limit.
enum class gate_result : std::uint8_t
{
    replied,
    // The upstream refused the request for load.
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
    // A caller's own request, not a child call on which another upstream waits.
    bool is_root = false;
};

struct gate_settings
{
    // See concurrency_limit::is_announcement_exact.
    bool has_exact_slots = false;
    // Share of the limit, 0 to 1, that root requests leave to child calls.
    // Without it, upstreams that all wait for calls to each other would
    // deadlock.
    double reserved_for_calls = 0.0;
    // Queued requests that can no longer finish in time are refused before
    // their deadline, so that their callers receive the not-run outcome while
    // they still wait.
    bool refuses_before_deadline = false;
    cold_tolerance cold{};
};

struct gate_state
{
    gate_settings settings;
    upstream_record upstream;
    // Operators evacuate the data centre; nothing is started.
    bool is_evacuated = false;
    // The service of the upstream.
    service_id service = service_id::none;
    concurrency_limit limit;
    // The rate that the upstream names in its replies.
    rate_cap cap;
    // Its rate while it is cold.
    rate_cap cold;
    std::unordered_map<gate_entry_id, gate_running> running;
    fair_queue queue;
    // Suspects wait here and run one at a time, so that a crash during a
    // suspect's run identifies one request.
    std::deque<gate_request> suspects;
    bool suspect_running = false;
    std::size_t running_roots = 0;
    admission_control admission;
};

// Applies a new announcement of the local upstream. When it is draining or
// absent, nothing more is started and queued requests are refused. Those that
// are queued for an upstream of another service are refused as well.
[[nodiscard]] gate_decisions gate_set_upstream(
    gate_state& gate, const upstream_record& record, time_point now);

// Applies the start or the end of the data centre's evacuation. At the start,
// queued requests are refused; those that run go on.
[[nodiscard]] gate_decisions
gate_set_evacuated(gate_state& gate, bool is_evacuated, time_point now);

// Applies the rate that the upstream's newest reply names; absent if it names
// none.
[[nodiscard]] gate_decisions
gate_set_rate(gate_state& gate, std::optional<double> rate, time_point now);

// Offers a request, which is started, refused or queued. A queued request gets
// its decision from a later call. The decisions may also refuse a less
// important request that was queued earlier.
[[nodiscard]] gate_decisions
gate_offer(gate_state& gate, gate_request request, time_point now);

// Ends a started request. `child_wait` is the time it waited for its child
// calls (call_record::child_wait).
[[nodiscard]] gate_decisions gate_finish(
    gate_state& gate, gate_entry_id entry_id, gate_result result,
    time_point now, duration child_wait = {});

// Removes a request whose caller has disconnected and which the caller of this
// function has not begun to run: it is queued, or the decision to start it has
// not been carried out. Returns decisions on other requests.
[[nodiscard]] gate_decisions
gate_cancel(gate_state& gate, gate_entry_id entry_id, time_point now);

// Refuses expired requests and adapts the limit. Call at least every 10 ms
// while requests are queued or running.
[[nodiscard]] gate_decisions gate_tick(gate_state& gate, time_point now);

// Whether requests are started or queued at all.
[[nodiscard]] bool gate_accepts(const gate_state& gate);

// The load report that is sent with replies.
[[nodiscard]] load_report gate_report(const gate_state& gate, time_point now);

// The digests of all running requests, without duplicates, for a crash report.
[[nodiscard]] std::vector<std::uint64_t>
gate_running_digests(const gate_state& gate);

} // namespace cyclamenhold
