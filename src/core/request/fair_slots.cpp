#include "core/request/fair_slots.hpp"

#include "core/base/request_context.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenhold
{
namespace
{

constexpr duration arrival_half_life = 1s;

double decayed(const arrival_count& count, time_point now)
{
    const double half_lives =
        to_seconds(now - count.at) / to_seconds(arrival_half_life);
    return count.value * std::exp2(-std::max(0.0, half_lives));
}

} // namespace

std::uint16_t draw_slot(
    fair_slots& slots, workspace_id workspace, priority_class priority,
    time_point now, random_source& random)
{
    const double share = random_fraction(random);
    double relative = 1.0;
    {
        const std::scoped_lock lock(slots.mutex);
        arrival_count& own = slots.arrivals[{priority, workspace}];
        own = {decayed(own, now) + 1.0, now};
        arrival_count& largest = slots.largest[priority];
        largest = {std::max(own.value, decayed(largest, now)), now};
        relative = own.value / largest.value;
    }
    return static_cast<std::uint16_t>(share * relative * admission_slot_count);
}

} // namespace cyclamenhold
