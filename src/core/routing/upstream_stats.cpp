#include "core/routing/upstream_stats.hpp"

#include "core/gate/admission_position.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

constexpr duration load_report_age = 500ms;

constexpr std::uint32_t millionths = 1'000'000;
constexpr std::uint32_t failure_weight_divisor = 10;
constexpr std::uint32_t ejecting_failure_share = 600'000;
constexpr std::uint32_t min_attempts_to_eject = 10;
constexpr std::uint32_t ejecting_failures_in_a_row = 5;
constexpr duration first_ejection = 2s;
constexpr std::uint32_t max_ejection_doublings = 4;
// About the time that members take to receive the new incarnation of a host
// that restarted.
constexpr duration first_unreachable = 500ms;
constexpr std::uint32_t max_unreachable_doublings = 2;
constexpr duration probation_time = 5s;
constexpr double probation_floor = 0.05;

std::int64_t nanoseconds(time_point at)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               at.time_since_epoch())
        .count();
}

bool is_recent(
    const std::atomic<std::int64_t>& at, duration age, time_point now)
{
    const std::int64_t value = at.load(std::memory_order_relaxed);
    return value != 0 && nanoseconds(now - age) <= value;
}

void eject(upstream_stats& stats, time_point now)
{
    const std::uint32_t earlier =
        stats.ejections.fetch_add(1, std::memory_order_relaxed);
    const auto doublings = std::min(earlier, max_ejection_doublings);
    stats.ejected_until.store(
        nanoseconds(now + first_ejection * (1U << doublings)),
        std::memory_order_relaxed);
    stats.failures_in_a_row.store(0, std::memory_order_relaxed);
    stats.failure_share.store(0, std::memory_order_relaxed);
    stats.attempts_since_ejection.store(0, std::memory_order_relaxed);
}

void record_success(upstream_stats& stats, time_point now)
{
    stats.failures_in_a_row.store(0, std::memory_order_relaxed);
    const std::uint32_t share =
        stats.failure_share.load(std::memory_order_relaxed);
    stats.failure_share.store(
        share - share / failure_weight_divisor, std::memory_order_relaxed);
    stats.attempts_since_ejection.fetch_add(1, std::memory_order_relaxed);
    // The ejections are reset once the probation after the last one has passed.
    if (probation_share(stats, now) >= 1.0)
    {
        stats.ejections.store(0, std::memory_order_relaxed);
    }
}

void record_failure(upstream_stats& stats, time_point now)
{
    if (is_ejected(stats, now))
    {
        return;
    }
    const bool on_probation = probation_share(stats, now) < 1.0;
    const auto in_a_row =
        stats.failures_in_a_row.fetch_add(1, std::memory_order_relaxed) + 1;
    const auto attempts_since_ejection =
        stats.attempts_since_ejection.fetch_add(1, std::memory_order_relaxed) +
        1;
    const auto before = stats.failure_share.load(std::memory_order_relaxed);
    const std::uint32_t share =
        before + (millionths - before) / failure_weight_divisor;
    stats.failure_share.store(share, std::memory_order_relaxed);
    const bool has_high_share =
        attempts_since_ejection >= min_attempts_to_eject &&
        share >= ejecting_failure_share;
    const bool failed_on_probation = on_probation && in_a_row >= 2;
    if (has_high_share || failed_on_probation ||
        in_a_row >= ejecting_failures_in_a_row)
    {
        eject(stats, now);
    }
}

} // namespace

void record_attempt_started(upstream_stats& stats)
{
    stats.outstanding.fetch_add(1, std::memory_order_relaxed);
}

void record_attempt_ended(
    upstream_stats& stats, attempt_status status, duration /*latency*/,
    time_point now)
{
    stats.outstanding.fetch_sub(1, std::memory_order_relaxed);
    switch (status)
    {
    case attempt_status::replied:
        record_success(stats, now);
        return;
    case attempt_status::failed:
    case attempt_status::timed_out:
        record_failure(stats, now);
        return;
    case attempt_status::refused:
    case attempt_status::cancelled:
        return;
    }
}

bool record_unreachable(upstream_stats& stats, time_point now)
{
    if (is_unreachable(stats, now))
    {
        return false;
    }
    const std::uint32_t earlier =
        stats.unreachable_count.fetch_add(1, std::memory_order_relaxed);
    const auto doublings = std::min(earlier, max_unreachable_doublings);
    stats.unreachable_until.store(
        nanoseconds(now + first_unreachable * (1U << doublings)),
        std::memory_order_relaxed);
    return true;
}

bool is_unreachable(const upstream_stats& stats, time_point now)
{
    return nanoseconds(now) <
           stats.unreachable_until.load(std::memory_order_relaxed);
}

void record_load_report(
    upstream_stats& stats, const load_report& report, time_point now)
{
    stats.unreachable_count.store(0, std::memory_order_relaxed);
    stats.unreachable_until.store(0, std::memory_order_relaxed);
    stats.reported_load.store(
        report.in_flight + report.queued, std::memory_order_relaxed);
    stats.reported_limit.store(report.limit, std::memory_order_relaxed);
    if (report.latency > duration::zero())
    {
        stats.reported_latency.store(
            std::chrono::duration_cast<std::chrono::nanoseconds>(report.latency)
                .count(),
            std::memory_order_relaxed);
    }
    stats.reported_level.store(
        open_positions(report.level), std::memory_order_relaxed);
    stats.outstanding_at_report.store(
        stats.outstanding.load(std::memory_order_relaxed),
        std::memory_order_relaxed);
    stats.reported_at.store(nanoseconds(now), std::memory_order_relaxed);
}

double estimated_load(const upstream_stats& stats, time_point now)
{
    const double outstanding =
        stats.outstanding.load(std::memory_order_relaxed);
    if (!is_recent(stats.reported_at, load_report_age, now))
    {
        return outstanding;
    }
    const double reported = stats.reported_load.load(std::memory_order_relaxed);
    const double before =
        stats.outstanding_at_report.load(std::memory_order_relaxed);
    return std::max(outstanding, reported + outstanding - before);
}

duration estimated_latency(const upstream_stats& stats)
{
    return std::chrono::nanoseconds(
        stats.reported_latency.load(std::memory_order_relaxed));
}

double failure_share(const upstream_stats& stats)
{
    return stats.failure_share.load(std::memory_order_relaxed) /
           double(millionths);
}

admission_level effective_level(const upstream_stats& stats, time_point now)
{
    const std::uint32_t positions =
        stats.reported_level.load(std::memory_order_relaxed);
    if (positions == 0)
    {
        return {};
    }
    const std::chrono::nanoseconds reported(
        stats.reported_at.load(std::memory_order_relaxed));
    return aged_level(positions, now - time_point(reported));
}

bool is_ejected(const upstream_stats& stats, time_point now)
{
    return nanoseconds(now) <
           stats.ejected_until.load(std::memory_order_relaxed);
}

double probation_share(const upstream_stats& stats, time_point now)
{
    const std::int64_t ended =
        stats.ejected_until.load(std::memory_order_relaxed);
    if (ended == 0)
    {
        return 1.0;
    }
    const double elapsed =
        static_cast<double>(nanoseconds(now) - ended) /
        static_cast<double>(nanoseconds(time_point(probation_time)));
    return std::clamp(elapsed, probation_floor, 1.0);
}

} // namespace cyclamenhold
