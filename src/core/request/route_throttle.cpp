#include "core/request/route_throttle.hpp"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

// How long the counts remember: about the latency of a loaded call tree, for
// what is let in now shows only then.
constexpr duration count_time_constant = 500ms;
constexpr duration adapting_interval = 100ms;
// Too few ended requests to judge by.
constexpr double min_ended = 5.0;
// The share of failures that each class bears before it backs off.
constexpr std::array<double, priority_class_count> max_failure_share{
    0.5, 0.3, 0.15, 0.06};
// In one interval: the part of the excess failures by which the share that is
// let in shrinks, and the factor and step by which it grows.
constexpr double shrink_rate = 0.3;
constexpr double growth_factor = 1.08;
// The factor up to `slow_growth_from`, and the part of the share at which
// failures began from which on growth is cautious: a short outage is not to be
// outlasted by its throttle, nor a lasting overload to be met with bursts.
constexpr double recovery_factor = 1.35;
constexpr double slow_growth_part = 0.7;
constexpr double growth_step = 0.005;
// A caller that was refused and came back has waited longest, so that it is
// let in so many times as often as a new one.
constexpr double resend_factor = 3.0;
// Some are always let in, to see when the services below work again.
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
            entry.slow_growth_from = entry.open * slow_growth_part;
            entry.is_shrinking = true;
        }
        entry.open = std::max(
            min_admitted_share, entry.open * (1.0 - shrink_rate * excess));
        return;
    }
    entry.is_shrinking = false;
    const double factor =
        entry.open < entry.slow_growth_from ? recovery_factor : growth_factor;
    entry.open = std::min(1.0, entry.open * factor + growth_step);
}

} // namespace

throttle_state state_of_route(route_throttle& throttle, std::string_view route)
{
    const std::scoped_lock lock(throttle.mutex);
    const throttle_entry& entry = entry_of(throttle, route);
    return {entry.open, entry.ended, entry.failed};
}

bool throttle_admits(
    route_throttle& throttle, std::string_view route, priority_class priority,
    bool is_resend, time_point now, random_source& random)
{
    const std::scoped_lock lock(throttle.mutex);
    throttle_entry& entry = entry_of(throttle, route);
    adapt(entry, priority, now);
    const double open = is_resend ? entry.open * resend_factor : entry.open;
    return open >= 1.0 || random_fraction(random) < open;
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
