// Time as the decisions see it: always passed in, never read from a clock.
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

// Seconds as a floating-point number, for rates.
[[nodiscard]] inline double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

// Rounds a number of seconds to the clock's resolution.
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
