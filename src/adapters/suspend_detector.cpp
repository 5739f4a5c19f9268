#include "adapters/suspend_detector.hpp"

#include "adapters/clock.hpp"

#include <ctime>

namespace cyclamenhold
{
namespace
{

// Shorter than any permitted staleness of keys; longer than what may pass
// between two readings of the clocks on a busy host.
constexpr std::int64_t min_suspension_ns = 200'000'000;
constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;

std::int64_t boot_time_ns()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time.tv_sec * nanoseconds_per_second + time.tv_nsec;
}

} // namespace

std::optional<time_point> detect_resumption(suspend_detector& detector)
{
    const time_point at = now();
    const std::int64_t lead_ns = boot_time_ns() - at.time_since_epoch().count();
    std::int64_t recorded_lead_ns =
        detector.boot_clock_lead_ns.load(std::memory_order_relaxed);
    if (recorded_lead_ns != 0 && lead_ns - recorded_lead_ns < min_suspension_ns)
    {
        return std::nullopt;
    }
    const bool is_first = recorded_lead_ns == 0;
    const bool is_recorded =
        detector.boot_clock_lead_ns.compare_exchange_strong(
            recorded_lead_ns, lead_ns);
    return is_recorded && !is_first ? std::optional(at) : std::nullopt;
}

} // namespace cyclamenhold
