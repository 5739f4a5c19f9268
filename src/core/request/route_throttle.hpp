// Adaptive throttling of a route at its entry: when the requests of a route
// keep failing below, be it at a service that the route needs several calls
// deep, fewer are let in, until most of those end succeeded; when they do, more
// are let in again. Less important routes back off at a smaller share of
// failures, so that they make room first. Thread-safe.
#pragma once

#include "core/base/outcome.hpp"
#include "core/base/random.hpp"
#include "core/base/time.hpp"

#include <array>
#include <mutex>
#include <string_view>

namespace cyclamenhold
{

struct throttle_entry
{
    // The share of requests that is let in.
    double open = 1.0;
    // Below this share nothing has been seen to fail, so that it is reached
    // again in large steps.
    double slow_growth_from = 1.0;
    bool is_shrinking = false;
    // Decaying counts of requests that were let in and ended.
    double ended = 0.0;
    double failed = 0.0;
    time_point counted_at{};
    time_point adapted_at{};
};

// Routes whose names share an entry are throttled together; there are few
// routes.
struct route_throttle
{
    std::mutex mutex;
    std::array<throttle_entry, 256> entries;
};

// What the throttle goes by, for logs.
struct throttle_state
{
    double open = 1.0;
    double ended = 0.0;
    double failed = 0.0;
};
[[nodiscard]] throttle_state
state_of_route(route_throttle& throttle, std::string_view route);

// Whether the next request of the route is let in. `is_resend`: it was refused
// or failed before.
[[nodiscard]] bool throttle_admits(
    route_throttle& throttle, std::string_view route, priority_class priority,
    bool is_resend, time_point now, random_source& random);

// A request that was let in ended.
void throttle_record_end(
    route_throttle& throttle, std::string_view route, bool succeeded,
    time_point now);

} // namespace cyclamenhold
