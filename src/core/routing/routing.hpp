// Which upstream a request goes to.
#pragma once

#include "core/base/random.hpp"
#include "core/base/request_context.hpp"
#include "core/base/time.hpp"
#include "core/routing/upstream.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

// What this node has learned of one upstream from its own requests. Shared by
// all request threads and by successive views.
struct upstream_stats
{
    // Attempts of this node that are under way there.
    std::atomic<std::uint32_t> outstanding{0};
    // The newest report: running plus queued, limit, admission level.
    std::atomic<std::uint32_t> reported_load{0};
    std::atomic<std::uint32_t> reported_limit{0};
    std::atomic<std::uint32_t> reported_level{0};
    // Nanoseconds of the clock when the report came.
    std::atomic<std::int64_t> reported_at{0};
};

struct routing_candidate
{
    upstream_location location;
    std::shared_ptr<upstream_stats> stats;
};

// Immutable; published by the control thread when members change.
struct routing_view
{
    data_centre_id local_data_centre = data_centre_id::none;
    std::unordered_map<service_id, std::vector<routing_candidate>> services;
};

// Builds the view of `locations`, keeping the statistics of upstreams that
// `previous` knew in the same incarnation.
[[nodiscard]] routing_view build_routing_view(
    std::span<const upstream_location> locations,
    data_centre_id local_data_centre, const routing_view& previous);

struct routing_choice
{
    // `none` when an upstream was chosen.
    refusal reason = refusal::none;
    routing_candidate candidate;
};

// Chooses an upstream for a request, avoiding the hosts in `tried` while there
// are others. Refuses with no_upstream or overloaded.
[[nodiscard]] routing_choice choose_upstream(
    const routing_view& view, const request_context& context,
    std::span<const host_id> tried, time_point now, random_source& random);

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

void note_attempt_started(upstream_stats& stats);
void note_attempt_ended(
    upstream_stats& stats, attempt_status status, duration latency,
    time_point now);
void note_load_report(
    upstream_stats& stats, const load_report& report, time_point now);

} // namespace cyclamenhold
