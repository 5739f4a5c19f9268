// A node's statistics of one upstream from its own requests, and the detection
// of outliers. Lock-free; shared by all request threads and by successive
// views.
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
    // Attempts of this node in progress at the upstream.
    std::atomic<std::uint32_t> outstanding{0};
    // From the newest report: running plus queued requests, limit, admission
    // level.
    std::atomic<std::uint32_t> reported_load{0};
    std::atomic<std::uint32_t> reported_limit{0};
    // Nanoseconds, or 0 before the first report that contains a latency.
    std::atomic<std::int64_t> reported_latency{0};
    // Open admission positions, or 0 before the first report.
    std::atomic<std::uint32_t> reported_level{0};
    // Nanoseconds of the clock at which the newest report arrived.
    std::atomic<std::int64_t> reported_at{0};
    // The value of `outstanding` when the newest report arrived.
    std::atomic<std::uint32_t> outstanding_at_report{0};
    // The exponentially weighted share of failed attempts, in millionths.
    std::atomic<std::uint32_t> failure_share{0};
    std::atomic<std::uint32_t> failures_in_a_row{0};
    // Attempts ended since the last ejection ended.
    std::atomic<std::uint32_t> attempts_since_ejection{0};
    std::atomic<std::uint32_t> ejections{0};
    // Nanoseconds of the clock. No requests are sent until then, and few during
    // the probation after it.
    std::atomic<std::int64_t> ejected_until{0};
    // Nanoseconds of the clock. The host does not answer, or runs another
    // incarnation than expected; it is tried again after this time.
    std::atomic<std::int64_t> unreachable_until{0};
    // Times it was found unreachable since its last load report.
    std::atomic<std::uint32_t> unreachable_count{0};
};

// How an attempt at an upstream ended, as seen by the caller's node.
enum class attempt_status : std::uint8_t
{
    // A complete reply, of any HTTP status.
    replied,
    // The upstream's node refused the request, which has not run.
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
// Records that the upstream's host is silent, could not be connected to, or
// runs another incarnation than expected. Requests avoid it for a time that
// doubles with each repetition, up to a bound, until it answers. Returns false
// when they avoid it already.
bool record_unreachable(upstream_stats& stats, time_point now);
[[nodiscard]] bool is_unreachable(const upstream_stats& stats, time_point now);

void record_load_report(
    upstream_stats& stats, const load_report& report, time_point now);

// The estimated load of an upstream: its last report, corrected by the attempts
// that this node started and ended since.
[[nodiscard]] double
estimated_load(const upstream_stats& stats, time_point now);

// The mean latency in its last report; zero when unknown.
[[nodiscard]] duration estimated_latency(const upstream_stats& stats);

// The share of this node's recent attempts that failed there.
[[nodiscard]] double failure_share(const upstream_stats& stats);

// The admission level in its last report, opened gradually as the report ages.
[[nodiscard]] admission_level
effective_level(const upstream_stats& stats, time_point now);

[[nodiscard]] bool is_ejected(const upstream_stats& stats, time_point now);

// The share of its capacity to use during the probation after an ejection; 1
// after that.
[[nodiscard]] double
probation_share(const upstream_stats& stats, time_point now);

} // namespace cyclamenhold
