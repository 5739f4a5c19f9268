#include "adapters/suspend_detector.hpp"

#include "adapters/clock.hpp"

#include <ctime>

namespace cyclamenhold
{
namespace
{

// Shorter than any time that trust in keys is extended by; longer than what
// may pass between two readings of the clocks on a busy host.
constexpr std::int64_t least_suspension_ns = 200'000'000;
constexpr std::int64_t nanoseconds_a_second = 1'000'000'000;

std::int64_t boot_time_ns()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time.tv_sec * nanoseconds_a_second + time.tv_nsec;
}

} // namespace

std::optional<time_point> detect_resumption(suspend_detector& watch)
{
    const time_point at = now();
    const std::int64_t lead = boot_time_ns() - at.time_since_epoch().count();
    std::int64_t known = watch.lead.load(std::memory_order_relaxed);
    if (known != 0 && lead - known < least_suspension_ns)
    {
        return std::nullopt;
    }
    const bool is_first = known == 0;
    const bool noted = watch.lead.compare_exchange_strong(known, lead);
    return noted && !is_first ? std::optional(at) : std::nullopt;
}

} // namespace cyclamenhold
