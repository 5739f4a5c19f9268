#include "core/gate/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenhold
{
namespace
{

constexpr double probe_amplitude = 0.2;
constexpr duration min_probe_length = 50ms;
constexpr duration max_probe_length = 2s;
// Length of a probe in mean latencies.
constexpr int probe_latencies = 2;
constexpr std::uint32_t min_steady_length = 2;
constexpr std::uint32_t max_steady_length = 16;
constexpr std::uint32_t min_samples = 12;
constexpr double slope_weight = 0.5;
constexpr double slope_threshold = 0.5;
constexpr double max_decrease = 0.3;
constexpr double growth_share = 0.05;
constexpr double shed_factor = 0.9;
constexpr double latency_weight = 0.05;
// Share of exactly announced slots to use. The rest is left for the upstream's
// health check and for callers that bypass this node.
constexpr double exact_slots_share = 0.95;
// How fast the limit of exactly announced slots recovers after the upstream
// shed load: share of the slots per second.
constexpr double recovery_share_per_second = 0.2;
constexpr duration warm_up_time = 10s;
constexpr double warm_up_floor = 0.1;

duration probe_length(const concurrency_limit& limit)
{
    return std::clamp(
        limit.mean_latency * probe_latencies, min_probe_length,
        max_probe_length);
}

double warm_up_share(const concurrency_limit& limit, time_point now)
{
    if (!limit.warming || limit.is_announcement_exact)
    {
        return 1.0;
    }
    const double elapsed =
        to_seconds(now - limit.warming_since) / to_seconds(warm_up_time);
    return std::clamp(elapsed, warm_up_floor, 1.0);
}

double bounded(const concurrency_limit& limit, double value)
{
    return std::clamp(value, 1.0, std::max(1.0, double(limit.cap)));
}

void begin_phase(concurrency_limit& limit, limit_phase phase, time_point now)
{
    limit.phase = phase;
    limit.phase_started = now;
    ++limit.phase_number;
    limit.probe = {};
    if (phase == limit_phase::steady)
    {
        limit.steady = {};
    }
}

double mean_latency_of(const limit_samples& samples)
{
    return samples.latency_seconds / samples.count;
}

double mean_concurrency_of(const limit_samples& samples)
{
    return samples.concurrency / samples.count;
}

// The logarithmic slope of latency over concurrency. Negative when there are
// too few samples or the concurrency hardly differed.
double slope_between(const limit_samples& steady, const limit_samples& probe)
{
    if (steady.count < min_samples || probe.count < min_samples)
    {
        return -1.0;
    }
    const double concurrency =
        std::log(mean_concurrency_of(probe) / mean_concurrency_of(steady));
    if (std::abs(concurrency) < probe_amplitude / 3)
    {
        return -1.0;
    }
    const double latency =
        std::log(mean_latency_of(probe) / mean_latency_of(steady));
    return std::clamp(latency / concurrency, 0.0, 1.0);
}

void smooth(double& value, double sample)
{
    value += slope_weight * (sample - value);
}

// Additive growth, in larger steps below the announced slots.
void grow(concurrency_limit& limit)
{
    const double step = limit.value < limit.announced
                            ? limit.announced * 2 * growth_share
                            : limit.value * growth_share;
    limit.value = bounded(limit, limit.value + std::max(1.0, step));
    limit.steady_length = min_steady_length;
}

// Shrinks in proportion to how much latency a lower concurrency saves.
void shrink(concurrency_limit& limit)
{
    const double factor = 1.0 - max_decrease * limit.lowered_slope;
    limit.value = bounded(limit, limit.value * factor);
    limit.steady_length = min_steady_length;
}

// A clear result repeats the same probe soon, since one sample is not enough to
// move the limit. Otherwise the next probe waits longer.
void schedule_probe(concurrency_limit& limit, bool is_clear)
{
    if (is_clear)
    {
        limit.next_probe = limit.phase;
        limit.steady_length = min_steady_length;
        return;
    }
    limit.steady_length = std::min(limit.steady_length * 2, max_steady_length);
}

void evaluate_probe(concurrency_limit& limit)
{
    const double slope = slope_between(limit.steady, limit.probe);
    if (slope < 0.0)
    {
        return;
    }
    if (limit.phase == limit_phase::lowered)
    {
        smooth(limit.lowered_slope, slope);
        schedule_probe(limit, slope > slope_threshold);
        if (limit.lowered_slope > slope_threshold)
        {
            shrink(limit);
        }
        return;
    }
    smooth(limit.raised_slope, slope);
    schedule_probe(limit, slope < slope_threshold);
    if (limit.raised_slope < slope_threshold)
    {
        grow(limit);
    }
}

void recover_limit(concurrency_limit& limit, time_point now)
{
    const double elapsed = to_seconds(now - limit.phase_started);
    limit.phase_started = now;
    const double usable = limit.announced * exact_slots_share;
    if (limit.value > 0.0 && limit.value < usable)
    {
        limit.value = bounded(
            limit, std::min(
                       usable, limit.value + limit.announced *
                                                 recovery_share_per_second *
                                                 std::min(elapsed, 1.0)));
    }
}

} // namespace

void limit_announce(
    concurrency_limit& limit, std::uint32_t slots, std::uint32_t connections,
    bool warming, time_point now)
{
    if (warming && !limit.warming)
    {
        limit.warming_since = now;
    }
    limit.warming = warming;
    if (slots == limit.announced && connections == limit.cap)
    {
        return;
    }
    limit.announced = slots;
    limit.cap = connections;
    const double usable =
        limit.is_announcement_exact ? slots * exact_slots_share : slots;
    limit.value = connections == 0 ? 0.0 : bounded(limit, usable);
    limit.raised_slope = slope_threshold;
    limit.lowered_slope = 0.0;
    begin_phase(limit, limit_phase::steady, now);
}

std::uint32_t current_limit(const concurrency_limit& limit, time_point now)
{
    if (limit.value <= 0.0)
    {
        return 0;
    }
    double value = limit.value * warm_up_share(limit, now);
    if (limit.phase == limit_phase::raised)
    {
        value = std::max(value + 1.0, value * (1.0 + probe_amplitude));
    }
    else if (limit.phase == limit_phase::lowered)
    {
        value *= 1.0 - probe_amplitude;
    }
    return static_cast<std::uint32_t>(std::lround(bounded(limit, value)));
}

limit_sample_start limit_record_start(
    const concurrency_limit& limit, std::uint32_t running, time_point now)
{
    constexpr double saturated_share = 0.95;
    return {
        now, limit.phase_number, running,
        running >= saturated_share * current_limit(limit, now)};
}

void limit_record_end(
    concurrency_limit& limit, const limit_sample_start& start,
    duration child_wait, time_point now)
{
    const duration latency = now - start.at;
    const duration own = std::max(latency - child_wait, duration(1us));
    if (limit.mean_latency == duration::zero())
    {
        limit.mean_latency = latency;
    }
    limit.mean_latency += std::chrono::duration_cast<duration>(
        latency_weight * (latency - limit.mean_latency));
    if (!start.saturated)
    {
        return;
    }
    // A request that started in the steady phase may end during the probe.
    const bool in_probe_phase = limit.phase != limit_phase::steady;
    limit_samples* samples = nullptr;
    if (start.phase_number == limit.phase_number)
    {
        samples = in_probe_phase ? &limit.probe : &limit.steady;
    }
    else if (in_probe_phase && start.phase_number + 1 == limit.phase_number)
    {
        samples = &limit.steady;
    }
    if (samples != nullptr)
    {
        ++samples->count;
        samples->latency_seconds += to_seconds(own);
        samples->concurrency += start.concurrency;
    }
}

void limit_record_shed(
    concurrency_limit& limit, std::uint32_t running, time_point now)
{
    if (now - limit.reduced_at < std::max(limit.mean_latency, duration(50ms)))
    {
        return;
    }
    limit.reduced_at = now;
    limit.value =
        bounded(limit, std::min(limit.value, double(running)) * shed_factor);
    // The limit does not grow until probes show that latency stays flat.
    limit.raised_slope = 1.0;
    begin_phase(limit, limit_phase::steady, now);
}

void limit_tick(concurrency_limit& limit, time_point now)
{
    if (limit.is_announcement_exact)
    {
        recover_limit(limit, now);
        return;
    }
    const duration length = probe_length(limit);
    const duration elapsed = now - limit.phase_started;
    if (limit.phase == limit_phase::steady)
    {
        const bool wait = limit.warming || limit.steady.count < min_samples;
        if (elapsed >= limit.steady_length * length && !wait)
        {
            const limit_phase probe = limit.next_probe;
            begin_phase(limit, probe, now);
            limit.next_probe = probe == limit_phase::lowered
                                   ? limit_phase::raised
                                   : limit_phase::lowered;
        }
        return;
    }
    // Twice the probe length, so that most requests that started in the phase
    // have ended.
    if (elapsed >= 2 * length)
    {
        evaluate_probe(limit);
        begin_phase(limit, limit_phase::steady, now);
    }
}

} // namespace cyclamenhold
