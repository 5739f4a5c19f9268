// Adaptive throttling of a route at its entry. When requests of a route keep
// failing, also at a service several calls deep, fewer are admitted until most
// of those succeed; then more are admitted again. Less important routes back
// off at a smaller share of failures, so that they yield capacity first.
// Thread-safe.
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
    // The share of requests that is admitted.
    double admitted_share = 1.0;
    // No failures were seen below this share, so growth up to it is fast.
    double slow_growth_from = 1.0;
    bool is_shrinking = false;
    // Decaying counts of admitted requests that ended.
    double ended = 0.0;
    double failed = 0.0;
    time_point counted_at{};
    time_point adapted_at{};
};

// Routes whose names hash to the same entry are throttled together. There are
// few routes.
struct route_throttle
{
    std::mutex mutex;
    std::array<throttle_entry, 256> entries;
};

// The state that decides admission, for logs.
struct throttle_state
{
    double admitted_share = 1.0;
    double ended = 0.0;
    double failed = 0.0;
};
[[nodiscard]] throttle_state
state_of_route(route_throttle& throttle, std::string_view route);

// Whether the next request of the route is admitted. `is_resend`: it was
// refused or failed before.
[[nodiscard]] bool throttle_admits(
    route_throttle& throttle, std::string_view route, priority_class priority,
    bool is_resend, time_point now, random_source& random);

// Records the end of an admitted request.
void throttle_record_end(
    route_throttle& throttle, std::string_view route, bool succeeded,
    time_point now);

} // namespace cyclamenhold
