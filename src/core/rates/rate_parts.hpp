// The parts of a rate that holders of pools and other hosts may use.
#pragma once

#include "core/base/time.hpp"

namespace cyclamenhold
{

// Refill rate and capacity of the buckets of all hosts together.
struct spread_rate
{
    // Tokens a second.
    double per_second = 0.0;
    // Tokens.
    double capacity = 0.0;
};
struct rate_tolerance
{
    // See rates_settings.
    duration window{};
    double overage = 0.0;
    double slack = 0.0;
};
// What the holders of pools use. No window admits more than rate x window +
// burst, or, if that is less, 92% of what the tolerance allows: part of
// the tolerance goes into the capacity, since shallow buckets at many hosts
// would refuse callers who stay within the rate but arrive irregularly.
[[nodiscard]] spread_rate
spread_burst(double rate, double burst, const rate_tolerance& tolerance);

// The part of the tolerance that is reserved for hosts that cannot reach a
// pool and are not yet detected by the holders, in tokens a window.
[[nodiscard]] double
unreached_reserve(double rate, double burst, const rate_tolerance& tolerance);

// One host's part. A bucket with a capacity below one token would never admit a
// request, so that a small part has a larger capacity and a lower rate.
[[nodiscard]] spread_rate
part_of_rate(const spread_rate& whole, double share, duration window);

} // namespace cyclamenhold
