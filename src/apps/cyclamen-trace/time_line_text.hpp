// Prints a time line.
#pragma once

#include "collect_events.hpp"

#include "core/events/event_ring.hpp"

#include <string>
#include <vector>

namespace cyclamenhold
{

// One line an event: time, distance from the first one, node, kind, details.
[[nodiscard]] std::string time_line_text(
    const std::vector<event_record>& line,
    const std::vector<node_events>& nodes);

// {"events": [...], "nodes": [{"node", "name", "overwritten", "problem"}]}.
[[nodiscard]] std::string time_line_json(
    const std::vector<event_record>& line,
    const std::vector<node_events>& nodes);

} // namespace cyclamenhold
