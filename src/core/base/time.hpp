// Time types. Decisions take the time as an argument and never read a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace cyclamenhold
{

// A point on the node's monotonic clock. Real nodes read steady_clock; tests
// advance a virtual clock of the same type.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

using namespace std::chrono_literals;

// The duration in seconds.
[[nodiscard]] inline double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

// Truncates a number of seconds to the clock's resolution.
[[nodiscard]] inline duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

[[nodiscard]] inline std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace cyclamenhold
