// Merges the events of several hosts into one time line.
#pragma once

#include "core/events/event_ring.hpp"

#include <vector>

namespace cyclamenhold
{

// All matching records, ordered by hybrid time, then host. A record that is in
// several inputs appears once. The query's limit is ignored.
[[nodiscard]] std::vector<event_record> merge_time_line(
    std::vector<std::vector<event_record>> inputs, const event_query& query);

} // namespace cyclamenhold
