// Sets the faults of stand-ins and reads their counters.
#pragma once

#include "fleet.hpp"

#include "core/base/time.hpp"
#include "experiment/figures.hpp"
#include "experiment/scenario.hpp"

#include <vector>

namespace cyclamenhold
{

// The counters of all upstreams, summed by service. An upstream that does not
// answer adds zero.
[[nodiscard]] std::vector<service_counts>
read_service_counts(const fleet& processes);

// The increase of each counter between two readings; zero for a counter that
// decreased.
[[nodiscard]] std::vector<service_counts> counts_between(
    const std::vector<service_counts>& before,
    const std::vector<service_counts>& after);

// Sets the faults of each trigger at its start and its end, counted from
// `start`. Returns after the last change. Failures are printed to stderr.
void run_triggers(
    const scenario& plan, const fleet& processes, time_point start);

} // namespace cyclamenhold
