// Switches the faults of stand-ins and reads their counters.
#pragma once

#include "fleet.hpp"

#include "core/base/time.hpp"
#include "experiment/figures.hpp"
#include "experiment/scenario.hpp"

#include <vector>

namespace cyclamenhold
{

// The counters of all upstreams, summed by service. One that does not answer
// counts as zero.
[[nodiscard]] std::vector<service_counts>
read_service_counts(const fleet& processes);

// What was counted between two readings.
[[nodiscard]] std::vector<service_counts> counts_between(
    const std::vector<service_counts>& before,
    const std::vector<service_counts>& after);

// Switches each trigger at its times; returns after the last one.
void run_triggers(
    const scenario& plan, const fleet& processes, time_point start);

} // namespace cyclamenhold
