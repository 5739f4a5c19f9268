// A rate of requests that an upstream takes: the one that it names in its
// replies while it cannot take more, or the one of a cold upstream
// (cold_bound.hpp). The gate starts no more requests than that, so that the
// rate holds for the whole fleet: all requests for an upstream pass its gate.
#pragma once

#include "core/base/time.hpp"

#include <optional>

namespace cyclamenhold
{

struct rate_cap
{
    // Requests per second; absent while the upstream names none.
    std::optional<double> rate;
    // Requests that may start at once; if zero, as many as the rate allows in a
    // quarter of a second.
    double burst = 0.0;
    // Requests that may start now, as of `refilled_at`.
    double tokens = 0.0;
    time_point refilled_at{};
};

// Applies what the newest reply names. A rate that is not finite or is negative
// is no statement and changes nothing.
void cap_set(rate_cap& cap, std::optional<double> rate, time_point now);

// Whether a request may start now.
[[nodiscard]] bool cap_allows(const rate_cap& cap, time_point now);

// Counts the start of a request.
void cap_record_start(rate_cap& cap, time_point now);

// The number of requests that run at once at the capped rate if each takes
// `latency`; absent while there is no cap or no latency is known.
[[nodiscard]] std::optional<double>
capped_concurrency(const rate_cap& cap, duration latency);

} // namespace cyclamenhold
