#include "core/rates/rate_parts.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

// Tokens of all hosts together in a window.
struct window_tokens
{
    double holders = 0.0;
    double reserve = 0.0;
};

window_tokens
divide_window(double rate, double burst, const rate_tolerance& tolerance)
{
    constexpr double holders_part = 0.92;
    // The rest covers tokens that hosts have taken from a pool in advance, and
    // hosts that the two sides of a partition count differently.
    constexpr double reserve_part = 0.5;
    const double stated = rate * to_seconds(tolerance.window) + burst;
    const double allowed = stated * (1.0 + tolerance.overage) + tolerance.slack;
    const double holders = std::max(stated, holders_part * allowed);
    return {holders, reserve_part * (allowed - holders)};
}

} // namespace

spread_rate
spread_burst(double rate, double burst, const rate_tolerance& tolerance)
{
    if (tolerance.window <= duration::zero())
    {
        return {rate, burst};
    }
    // The part of the burst that goes into the refill rate over the window; the
    // rest goes into the capacity.
    constexpr double steady_part = 0.75;
    const double seconds = to_seconds(tolerance.window);
    const double per_second = rate + steady_part * burst / seconds;
    return {
        per_second,
        divide_window(rate, burst, tolerance).holders - per_second * seconds};
}

double
unreached_reserve(double rate, double burst, const rate_tolerance& tolerance)
{
    return divide_window(rate, burst, tolerance).reserve;
}

spread_rate
part_of_rate(const spread_rate& whole, double share, duration window)
{
    const double capacity = std::max(1.0, share * whole.capacity);
    if (window <= duration::zero())
    {
        return {share * whole.per_second, capacity};
    }
    const double seconds = to_seconds(window);
    const double tokens = share * (whole.per_second * seconds + whole.capacity);
    return {std::max(0.0, (tokens - capacity) / seconds), capacity};
}

} // namespace cyclamenhold
