// What a node has learned of one upstream from its own requests, and whether
// that makes the upstream an outlier. Lock-free; shared by all request threads
// and by successive views.
#pragma once

#include "core/base/request_context.hpp"
#include "core/base/time.hpp"
#include "core/routing/upstream.hpp"

#include <atomic>
#include <cstdint>

namespace cyclamenhold
{

struct upstream_stats
{
    // Attempts of this node that are under way there.
    std::atomic<std::uint32_t> outstanding{0};
    // The newest report: running plus queued, limit, admission level.
    std::atomic<std::uint32_t> reported_load{0};
    std::atomic<std::uint32_t> reported_limit{0};
    // Nanoseconds, or 0 before the first report that tells it.
    std::atomic<std::int64_t> reported_latency{0};
    // The open admission positions, or 0 before the first report.
    std::atomic<std::uint32_t> reported_level{0};
    // Nanoseconds of the clock when the report came.
    std::atomic<std::int64_t> reported_at{0};
    // What `outstanding` was when the report came.
    std::atomic<std::uint32_t> outstanding_at_report{0};
    // The exponentially weighted share of failed attempts, in millionths.
    std::atomic<std::uint32_t> failure_share{0};
    std::atomic<std::uint32_t> failures_in_a_row{0};
    // Attempts ended since the last ejection ended.
    std::atomic<std::uint32_t> attempts_since_ejection{0};
    std::atomic<std::uint32_t> ejections{0};
    // Nanoseconds of the clock: no requests until then, few for a while after.
    std::atomic<std::int64_t> ejected_until{0};
    // Nanoseconds of the clock: its host does not answer, or not as the host
    // that was meant; asked again after that.
    std::atomic<std::int64_t> unreachable_until{0};
    // Since the last sign of life.
    std::atomic<std::uint32_t> unreachable_count{0};
};

// How an attempt at an upstream ended, as its caller's node saw it.
enum class attempt_status : std::uint8_t
{
    // A whole reply, of whatever HTTP status.
    replied,
    // The upstream's node refused; the request has not run.
    refused,
    // The connection or the upstream failed.
    failed,
    timed_out,
    cancelled
};

void record_attempt_started(upstream_stats& stats);
void record_attempt_ended(
    upstream_stats& stats, attempt_status status, duration latency,
    time_point now);
// The upstream's host is silent, could not be connected to, or is not in the
// life that was meant. Requests go elsewhere for a while, twice as long each
// time until it answers. False when they did already.
bool record_unreachable(upstream_stats& stats, time_point now);
[[nodiscard]] bool is_unreachable(const upstream_stats& stats, time_point now);

void record_load_report(
    upstream_stats& stats, const load_report& report, time_point now);

// The load an upstream is believed to carry: its last report, corrected by
// what this node has sent and got back since.
[[nodiscard]] double
estimated_load(const upstream_stats& stats, time_point now);

// The mean latency it last reported; zero when unknown.
[[nodiscard]] duration estimated_latency(const upstream_stats& stats);

// The share of the latest attempts of this node that failed there.
[[nodiscard]] double failure_share(const upstream_stats& stats);

// The admission level it last reported, fully open once the report is stale.
[[nodiscard]] admission_level
effective_level(const upstream_stats& stats, time_point now);

[[nodiscard]] bool is_ejected(const upstream_stats& stats, time_point now);

// The share of its capacity to use after an ejection; 1 when it is long ago.
[[nodiscard]] double
probation_share(const upstream_stats& stats, time_point now);

} // namespace cyclamenhold
