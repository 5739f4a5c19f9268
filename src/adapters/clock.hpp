// The clocks of the system.
#pragma once

#include "core/base/time.hpp"

#include <chrono>
#include <cstdint>

namespace cyclamenhold
{

[[nodiscard]] inline time_point now()
{
    return std::chrono::steady_clock::now();
}

// Milliseconds since the Unix epoch.
[[nodiscard]] inline std::uint64_t wall_clock_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace cyclamenhold
