// The number of requests that may run at one upstream at once. The search
// starts at the announced slots. The limit grows where more concurrency costs
// no latency, shrinks where less concurrency saves latency, and drops at once
// when the upstream sheds load.
#pragma once

#include "core/base/time.hpp"

#include <cstdint>

namespace cyclamenhold
{

// A probe raises or lowers the concurrency for one short phase and compares the
// latency with that of the steady phase before it.
enum class limit_phase : std::uint8_t
{
    steady,
    raised,
    lowered
};

// Requests that started while the concurrency was at its limit.
struct limit_samples
{
    std::uint32_t count = 0;
    double latency_seconds = 0.0;
    double concurrency = 0.0;
};

// The state recorded when a request starts, needed when it ends.
struct limit_sample_start
{
    time_point at{};
    std::uint64_t phase_number = 0;
    std::uint32_t concurrency = 0;
    bool saturated = false;
};

struct concurrency_limit
{
    // The announced slots are the number of requests that the upstream runs at
    // once, so no probing is needed. The limit only drops when the upstream
    // sheds load, and then recovers.
    bool is_announcement_exact = false;
    double value = 0.0;
    std::uint32_t announced = 0;
    // The connection cap; never exceeded.
    std::uint32_t cap = 0;
    limit_phase phase = limit_phase::steady;
    limit_phase next_probe = limit_phase::lowered;
    // Incremented with each phase, so that a request can be matched to the
    // phase in which it started.
    std::uint64_t phase_number = 1;
    time_point phase_started{};
    // Steady phases last this many probe lengths, more while probes change
    // nothing.
    std::uint32_t steady_length = 8;
    limit_samples steady;
    limit_samples probe;
    // Exponentially weighted mean of the upstream's latency.
    duration mean_latency{};
    // How strongly latency follows concurrency, as a smoothed logarithmic
    // slope: 0 below the upstream's capacity, 1 above it.
    double raised_slope = 0.5;
    double lowered_slope = 0.0;
    time_point reduced_at{};
    // Set while the upstream warms up.
    bool warming = false;
    time_point warming_since{};
};

// Applies an announcement. Keeps the adapted limit unless the numbers changed.
void limit_announce(
    concurrency_limit& limit, std::uint32_t slots, std::uint32_t connections,
    bool warming, time_point now);

// The number of requests that may run now. Zero only without an announcement.
[[nodiscard]] std::uint32_t
current_limit(const concurrency_limit& limit, time_point now);

// Records the start of a request that brings the number of running requests to
// `running`.
[[nodiscard]] limit_sample_start limit_record_start(
    const concurrency_limit& limit, std::uint32_t running, time_point now);

// Records that a request ended with a reply, a failure or a timeout.
// `child_wait` is the time it waited for its child calls; it is subtracted,
// since it does not depend on this upstream's own limit.
void limit_record_end(
    concurrency_limit& limit, const limit_sample_start& start,
    duration child_wait, time_point now);

// Records that the upstream refused a request for load while `running` requests
// were running.
void limit_record_shed(
    concurrency_limit& limit, std::uint32_t running, time_point now);

// Advances the phases and adapts the limit after each probe.
void limit_tick(concurrency_limit& limit, time_point now);

} // namespace cyclamenhold
