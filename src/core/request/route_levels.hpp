// The entry node's record of the services below each route: the most
// restrictive level that its requests met there. A request that a service deep
// in the call tree would refuse is refused at the entry, before any work is
// done. Thread-safe.
#pragma once

#include "core/base/random.hpp"
#include "core/base/request_context.hpp"
#include "core/base/time.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace cyclamenhold
{

struct route_level
{
    // Open positions in the newest report.
    std::atomic<std::uint32_t> positions{0};
    std::atomic<std::int64_t> reported_at{0};
};

// Routes whose names hash to the same entry share a level. There are few
// routes.
struct route_levels
{
    std::array<route_level, 256> entries;
};

// Whether a request reached all the services below its route or ended earlier.
enum class level_scope : std::uint8_t
{
    whole_route,
    // The rest of the route may be more restricted, so the level is only
    // lowered.
    part_of_route
};

void record_route_level(
    route_levels& levels, std::string_view route, const admission_level& level,
    level_scope scope, time_point now);

// The level to apply to requests of the route; fully open when the report is
// stale.
[[nodiscard]] admission_level level_of_route(
    const route_levels& levels, std::string_view route, time_point now);

// Whether a root request is admitted. A small share passes a closed level, to
// detect when it opens.
[[nodiscard]] bool admits(
    const admission_level& level, const request_context& context,
    random_source& random);

} // namespace cyclamenhold
