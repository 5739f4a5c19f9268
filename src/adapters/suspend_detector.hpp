// Notices that the host was suspended: the steady clock stands still
// meanwhile, the boot-time clock does not. Thread-safe.
#pragma once

#include "core/base/time.hpp"

#include <atomic>
#include <cstdint>
#include <optional>

namespace cyclamenhold
{

struct suspend_detector
{
    // By how much the boot-time clock is ahead, in nanoseconds.
    std::atomic<std::int64_t> lead{0};
};

// Tells the first caller after a suspension when it noticed.
[[nodiscard]] std::optional<time_point>
detect_resumption(suspend_detector& watch);

} // namespace cyclamenhold
