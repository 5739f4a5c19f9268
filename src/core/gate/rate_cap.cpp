#include "core/gate/rate_cap.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenhold
{
namespace
{

// Tokens accumulate for at most this time, at least one.
constexpr duration burst_time = 250ms;
// Only replies show that the upstream takes more again, so some requests start
// even at a rate of zero.
constexpr double min_rate = 0.5;

double effective_rate(const rate_cap& cap)
{
    return std::max(*cap.rate, min_rate);
}

double tokens_at(const rate_cap& cap, time_point now)
{
    const double rate = effective_rate(cap);
    const double depth = cap.burst > 0.0
                             ? cap.burst
                             : std::max(1.0, rate * to_seconds(burst_time));
    const duration elapsed = std::max(now - cap.refilled_at, duration::zero());
    return std::min(depth, cap.tokens + rate * to_seconds(elapsed));
}

void refill(rate_cap& cap, time_point now)
{
    cap.tokens = tokens_at(cap, now);
    cap.refilled_at = std::max(cap.refilled_at, now);
}

} // namespace

void cap_set(rate_cap& cap, std::optional<double> rate, time_point now)
{
    if (rate && (!std::isfinite(*rate) || *rate < 0.0))
    {
        return;
    }
    if (cap.rate)
    {
        refill(cap, now);
    }
    else
    {
        cap.tokens = 0.0;
        cap.refilled_at = now;
    }
    cap.rate = rate;
}

bool cap_allows(const rate_cap& cap, time_point now)
{
    return !cap.rate || tokens_at(cap, now) >= 1.0;
}

void cap_record_start(rate_cap& cap, time_point now)
{
    if (cap.rate)
    {
        refill(cap, now);
        cap.tokens -= 1.0;
    }
}

std::optional<double> capped_concurrency(const rate_cap& cap, duration latency)
{
    if (!cap.rate || latency <= duration::zero())
    {
        return std::nullopt;
    }
    return std::max(1.0, effective_rate(cap) * to_seconds(latency));
}

} // namespace cyclamenhold
