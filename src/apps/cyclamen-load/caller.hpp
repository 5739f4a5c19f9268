// Open-loop load: sends the calls of a scenario at their scheduled times, also
// while earlier calls have not finished.
#pragma once

#include "fleet.hpp"

#include "experiment/arrivals.hpp"
#include "experiment/figures.hpp"
#include "experiment/scenario.hpp"

#include "core/base/time.hpp"

#include <vector>

namespace cyclamenhold
{

// Sends all arrivals, with their times counted from `start`, on
// `plan.threads` threads. Returns one record per call after the last call has
// finished.
[[nodiscard]] std::vector<sent_call> send_calls(
    const scenario& plan, const fleet& processes,
    const std::vector<arrival>& arrivals, time_point start);

} // namespace cyclamenhold
