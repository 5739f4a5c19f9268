// Detects that the host was suspended: the steady clock stops during a
// suspension, the boot-time clock does not. Thread-safe.
#pragma once

#include "core/base/time.hpp"

#include <atomic>
#include <cstdint>
#include <optional>

namespace cyclamenhold
{

struct suspend_detector
{
    // By how much the boot-time clock is ahead of the steady clock; zero before
    // the first reading.
    std::atomic<std::int64_t> boot_clock_lead_ns{0};
};

// Returns the present time in the first call after a suspension, else nullopt.
[[nodiscard]] std::optional<time_point>
detect_resumption(suspend_detector& detector);

} // namespace cyclamenhold
