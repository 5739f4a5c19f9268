// The upstream gate of a running node. Requests for the local upstream, from
// any thread, pass the gate and run over a pooled connection; their results are
// recorded at the gate.
#pragma once

#include "adapters/call_handles.hpp"
#include "adapters/crash_detector.hpp"
#include "adapters/exchange.hpp"
#include "adapters/node_services.hpp"
#include "adapters/upstream_pool.hpp"
#include "core/gate/gate.hpp"
#include "core/quarantine/recent_successes.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

struct local_gate
{
    explicit local_gate(node_services& shared) : services(shared) {}

    node_services& services;
    call_handles handles;
    upstream_pool pool;

    std::mutex mutex;
    // Guarded by mutex, as is `waiting`.
    gate_state gate;
    std::unordered_map<gate_entry_id, exchange_ptr> waiting;
    // The last incarnation of the upstream that was reported as leaving;
    // guarded by mutex.
    std::uint64_t leaving_incarnation = 0;
    std::atomic<gate_entry_id> next_entry_id{1};
    // Requests that are running now.
    std::atomic<std::uint32_t> running{0};
    crash_detector crashes;
    std::mutex successes_mutex;
    // Guarded by successes_mutex.
    recent_successes successes;
    // Report to the control thread a crash of the upstream, with the digests of
    // the requests that may have caused it, and a suspect that succeeded.
    std::function<void(const std::vector<std::uint64_t>&)> on_crash;
    std::function<void(std::uint64_t)> on_suspect_success;
    // Reports to the control thread that a reply of this incarnation of the
    // upstream said that it leaves.
    std::function<void(std::uint64_t)> on_leaving;
    // Reports to the control thread that a reply of this incarnation of the
    // upstream said that it stays cold for this time.
    std::function<void(std::uint64_t, duration)> on_cold;
    // Has the control thread check whether a claim is still valid, and calls
    // back with the result.
    std::function<void(const claim_grant&, std::function<void(bool)>)>
        check_claim;
};

// Runs a request; its exchange receives exactly one reply or failure.
void run_at_gate(local_gate& gate, const exchange_ptr& work);

// True if the upstream has replied to a request with this digest within
// success_memory.
[[nodiscard]] bool has_succeeded(local_gate& gate, std::uint64_t digest);

// Applies a change of the local upstream's record or address.
void set_upstream(
    local_gate& gate, const upstream_record& record,
    const upstream_address& address);

// Applies the start or the end of an evacuation of this data centre.
void set_evacuated(local_gate& gate, bool is_evacuated);

// Drops expired requests; called about every 10 ms.
void tick_gate(local_gate& gate);

[[nodiscard]] load_report report_of(local_gate& gate);

// The requests that the upstream may run at once; zero while it accepts none.
[[nodiscard]] std::uint32_t usable_limit_of(local_gate& gate);

// The requests a second that the upstream takes while it is cold; nothing if it
// is not cold or not limited.
[[nodiscard]] std::optional<double> cold_rate_of(local_gate& gate);

[[nodiscard]] bool has_waiting_requests(local_gate& gate);

// The number of requests that are queued or running.
[[nodiscard]] std::size_t count_requests(local_gate& gate);

} // namespace cyclamenhold
