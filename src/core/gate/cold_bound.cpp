#include "core/gate/cold_bound.hpp"

#include <algorithm>
#include <optional>

namespace cyclamenhold
{

double cold_burst(double rate, const cold_tolerance& tolerance)
{
    const double excess = rate * (tolerance.overage - 1.0) + tolerance.slack;
    return std::max(1.0, excess / 2.0);
}

void apply_cold_bound(
    rate_cap& cap, const upstream_record& record,
    const cold_tolerance& tolerance, time_point now)
{
    const bool is_bounded =
        record.state == upstream_state::warming && record.cold_rate > 0.0;
    if (!is_bounded)
    {
        cap_set(cap, std::nullopt, now);
        return;
    }
    cap.burst = cold_burst(record.cold_rate, tolerance);
    cap_set(cap, record.cold_rate, now);
}

} // namespace cyclamenhold
