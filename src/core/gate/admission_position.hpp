// Orders every (class, slot) pair, the most important first, so that a level is
// a single number: the number of open positions.
#pragma once

#include "core/base/request_context.hpp"
#include "core/base/time.hpp"

#include <algorithm>
#include <cstdint>

namespace cyclamenhold
{

constexpr std::uint32_t admission_position_count =
    priority_class_count * admission_slot_count;

[[nodiscard]] constexpr std::uint32_t
admission_position(priority_class priority, std::uint16_t slot)
{
    return static_cast<std::uint32_t>(priority) * admission_slot_count +
           std::min<std::uint32_t>(slot, admission_slot_count - 1);
}

// The number of positions that a level accepts.
[[nodiscard]] constexpr std::uint32_t
open_positions(const admission_level& level)
{
    return static_cast<std::uint32_t>(level.lowest_class) *
               admission_slot_count +
           std::min<std::uint32_t>(level.slots, admission_slot_count);
}

// The level that accepts this number of positions.
[[nodiscard]] constexpr admission_level level_at(std::uint32_t positions)
{
    if (positions >= admission_position_count)
    {
        return {};
    }
    return {
        static_cast<priority_class>(positions / admission_slot_count),
        static_cast<std::uint16_t>(positions % admission_slot_count)};
}

// The level to apply when a report is `age` old. A fresh report applies as it
// is. After that the level opens gradually, so that the first admitted requests
// return a new report before the rest follows.
[[nodiscard]] inline admission_level
aged_level(std::uint32_t reported_positions, duration age)
{
    constexpr duration fresh = 500ms;
    constexpr double positions_per_second = 256.0;
    if (age <= fresh)
    {
        return level_at(reported_positions);
    }
    if (age >= 10s)
    {
        return {};
    }
    const double opened = positions_per_second * to_seconds(age - fresh);
    return level_at(reported_positions + static_cast<std::uint32_t>(opened));
}

} // namespace cyclamenhold
