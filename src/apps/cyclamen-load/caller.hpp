// Callers that send the calls of a scenario at their times, whatever became
// of the calls before them.
#pragma once

#include "fleet.hpp"

#include "experiment/arrivals.hpp"
#include "experiment/figures.hpp"
#include "experiment/scenario.hpp"

#include "core/base/time.hpp"

#include <vector>

namespace cyclamenhold
{

// Sends all arrivals, beginning at `start`, on the scenario's number of
// threads; returns one record a call when the last one is over.
[[nodiscard]] std::vector<sent_call> send_calls(
    const scenario& plan, const fleet& processes,
    const std::vector<arrival>& arrivals, time_point start);

} // namespace cyclamenhold
