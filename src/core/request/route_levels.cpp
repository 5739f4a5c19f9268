#include "core/request/route_levels.hpp"

#include "core/gate/admission_position.hpp"

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

constexpr std::uint64_t probe_interval = 50;
std::size_t index_of(const route_levels& levels, std::string_view route)
{
    return XXH3_64bits(route.data(), route.size()) % levels.entries.size();
}

} // namespace

void record_route_level(
    route_levels& levels, std::string_view route, const admission_level& level,
    level_scope scope, time_point now)
{
    const admission_level present = level_of_route(levels, route, now);
    if (scope == level_scope::part_of_route &&
        open_positions(level) >= open_positions(present))
    {
        return;
    }
    route_level& entry = levels.entries[index_of(levels, route)];
    entry.positions.store(open_positions(level), std::memory_order_relaxed);
    entry.reported_at.store(
        now.time_since_epoch().count(), std::memory_order_relaxed);
}

admission_level level_of_route(
    const route_levels& levels, std::string_view route, time_point now)
{
    const route_level& entry = levels.entries[index_of(levels, route)];
    const duration reported(entry.reported_at.load(std::memory_order_relaxed));
    const std::uint32_t positions =
        entry.positions.load(std::memory_order_relaxed);
    return aged_level(positions, now - time_point(reported));
}

bool admits(
    const admission_level& level, const request_context& context,
    random_source& random)
{
    return passes(level, context.priority, context.slot) ||
           random_below(random, probe_interval) == 0;
}

} // namespace cyclamenhold
