#include "core/request/route_throttle.hpp"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

// Decay time of the counts, about the latency of a loaded call tree: the effect
// of admitting a request shows only after that time.
constexpr duration count_time_constant = 500ms;
constexpr duration adapting_interval = 100ms;
// With fewer ended requests than this, the share of failures is taken as 0.
constexpr double min_ended = 5.0;
// The share of failures that each class tolerates before it backs off.
constexpr std::array<double, priority_class_count> max_failure_share{
    0.5, 0.3, 0.15, 0.06};
// For each interval: the part of the excess failures by which the admitted
// share shrinks, and the factor and step by which it grows.
constexpr double shrink_rate = 0.3;
constexpr double growth_factor = 1.08;
// The growth factor below `slow_growth_from`, and the part of the admitted
// share at which failures began, from which on growth is slow. Fast growth
// below it ends the throttling soon after a short outage; slow growth above it
// avoids bursts during a lasting overload.
constexpr double recovery_factor = 1.35;
constexpr double slow_growth_part = 0.7;
constexpr double growth_step = 0.005;
// A re-sent request is admitted this many times as often as a new one, because
// its caller has waited longest.
constexpr double resend_factor = 3.0;
// Some requests are always admitted, to detect when the services below recover.
constexpr double min_admitted_share = 0.03;

throttle_entry& entry_of(route_throttle& throttle, std::string_view route)
{
    return throttle.entries
        [XXH3_64bits(route.data(), route.size()) % throttle.entries.size()];
}

void decay(throttle_entry& entry, time_point now)
{
    const double elapsed = std::max(0.0, to_seconds(now - entry.counted_at));
    const double kept = std::exp(-elapsed / to_seconds(count_time_constant));
    entry.ended *= kept;
    entry.failed *= kept;
    entry.counted_at = now;
}

void adapt(throttle_entry& entry, priority_class priority, time_point now)
{
    if (now - entry.adapted_at < adapting_interval)
    {
        return;
    }
    entry.adapted_at = now;
    decay(entry, now);
    const double failures =
        entry.ended < min_ended ? 0.0 : entry.failed / entry.ended;
    const double excess =
        failures - max_failure_share[static_cast<std::size_t>(priority)];
    if (excess > 0.0)
    {
        if (!entry.is_shrinking)
        {
            entry.slow_growth_from = entry.admitted_share * slow_growth_part;
            entry.is_shrinking = true;
        }
        entry.admitted_share = std::max(
            min_admitted_share,
            entry.admitted_share * (1.0 - shrink_rate * excess));
        return;
    }
    entry.is_shrinking = false;
    const double factor = entry.admitted_share < entry.slow_growth_from
                              ? recovery_factor
                              : growth_factor;
    entry.admitted_share =
        std::min(1.0, entry.admitted_share * factor + growth_step);
}

} // namespace

throttle_state state_of_route(route_throttle& throttle, std::string_view route)
{
    const std::scoped_lock lock(throttle.mutex);
    const throttle_entry& entry = entry_of(throttle, route);
    return {entry.admitted_share, entry.ended, entry.failed};
}

bool throttle_admits(
    route_throttle& throttle, std::string_view route, priority_class priority,
    bool is_resend, time_point now, random_source& random)
{
    const std::scoped_lock lock(throttle.mutex);
    throttle_entry& entry = entry_of(throttle, route);
    adapt(entry, priority, now);
    const double share =
        is_resend ? entry.admitted_share * resend_factor : entry.admitted_share;
    return share >= 1.0 || random_fraction(random) < share;
}

void throttle_record_end(
    route_throttle& throttle, std::string_view route, bool succeeded,
    time_point now)
{
    const std::scoped_lock lock(throttle.mutex);
    throttle_entry& entry = entry_of(throttle, route);
    decay(entry, now);
    entry.ended += 1.0;
    entry.failed += succeeded ? 0.0 : 1.0;
}

} // namespace cyclamenhold
