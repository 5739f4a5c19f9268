// The rate of requests that an upstream takes while it is cold. Like the rate
// that an upstream names in its replies, it is kept at the upstream's own gate,
// which all requests pass, so that it holds for the whole fleet.
#pragma once

#include "core/base/time.hpp"
#include "core/gate/rate_cap.hpp"
#include "core/routing/upstream.hpp"

namespace cyclamenhold
{

// By how much a cold upstream's rate may be exceeded in one second: by a
// factor, and by a number of requests.
struct cold_tolerance
{
    double overage = 1.0;
    double slack = 0.0;
};

// The rate to use while the configuration that holds the service's own is not
// known yet.
constexpr double unknown_cold_rate = 1.0;

// The number of requests that a cold upstream may get at once, at least one.
// Half of what the tolerance allows beyond the rate in a second: requests that
// were started at different times may arrive together.
[[nodiscard]] double cold_burst(double rate, const cold_tolerance& tolerance);

// Bounds the starts while the record describes a cold upstream, and ends the
// bound after that. The bucket of an upstream that has become cold is empty, as
// requests that were started before may still arrive.
void apply_cold_bound(
    rate_cap& cap, const upstream_record& record,
    const cold_tolerance& tolerance, time_point now);

} // namespace cyclamenhold
