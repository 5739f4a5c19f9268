// How many requests may run at one upstream at once. The announced slots are
// where the search starts; from there the limit follows what requests saw: it
// grows where more concurrency costs no latency, shrinks where less concurrency
// saves latency, and falls at once when the upstream sheds.
#pragma once

#include "core/base/time.hpp"

#include <cstdint>

namespace cyclamenhold
{

// A probe raises or lowers the concurrency for one short phase and compares
// the latency with that of the steady phase before.
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

// What a request remembers from its start until its end.
struct limit_sample_start
{
    time_point at{};
    std::uint64_t phase_number = 0;
    std::uint32_t concurrency = 0;
    bool saturated = false;
};

struct concurrency_limit
{
    // The announced slots are what the upstream really runs at once, so that
    // nothing is probed; the limit only falls when the upstream sheds, and
    // grows back.
    bool is_announcement_exact = false;
    double value = 0.0;
    std::uint32_t announced = 0;
    // The connection cap; never exceeded.
    std::uint32_t cap = 0;
    limit_phase phase = limit_phase::steady;
    limit_phase next_probe = limit_phase::lowered;
    // Grows with each phase, so that a request finds the phase of its start.
    std::uint64_t phase_number = 1;
    time_point phase_started{};
    // Steady phases last this many probe lengths; longer while nothing changes.
    std::uint32_t steady_length = 8;
    limit_samples steady;
    limit_samples probe;
    // Exponentially weighted mean of the upstream's latency.
    duration mean_latency{};
    // How much of a change of concurrency shows up as latency, as a smoothed
    // logarithmic slope: 0 child_wait the upstream's capacity, 1 above it.
    double raised_slope = 0.5;
    double lowered_slope = 0.0;
    time_point reduced_at{};
    // Set while the upstream warms up.
    bool warming = false;
    time_point warming_since{};
};

// Takes an announcement. Keeps what was learned unless the numbers changed.
void limit_announce(
    concurrency_limit& limit, std::uint32_t slots, std::uint32_t connections,
    bool warming, time_point now);

// The number of requests that may run now; zero only without an announcement.
[[nodiscard]] std::uint32_t
current_limit(const concurrency_limit& limit, time_point now);

// A request starts as the `running`th one.
[[nodiscard]] limit_sample_start limit_record_start(
    const concurrency_limit& limit, std::uint32_t running, time_point now);

// A request ended with a reply, a failure or a timeout, after it waited
// `child_wait` for its child calls. That time says nothing about this
// upstream's own limit.
void limit_record_end(
    concurrency_limit& limit, const limit_sample_start& start,
    duration child_wait, time_point now);

// The upstream refused a request for load while `running` were running.
void limit_record_shed(
    concurrency_limit& limit, std::uint32_t running, time_point now);

// Moves from phase to phase and adapts the limit after each probe.
void limit_tick(concurrency_limit& limit, time_point now);

} // namespace cyclamenhold
