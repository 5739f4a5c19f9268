// Formats a time line as text or JSON.
#pragma once

#include "collect_events.hpp"

#include "core/events/event_ring.hpp"

#include <string>
#include <vector>

namespace cyclamenhold
{

// One line per event: time, seconds since the first event, node, kind, then the
// peer, trace and detail if there are any.
[[nodiscard]] std::string time_line_text(
    const std::vector<event_record>& line,
    const std::vector<node_events>& nodes);

// {"events": [...], "nodes": [{"node", "answered", "name", "overwritten",
// "problem"}]}; "problem" is absent if all events were received.
[[nodiscard]] std::string time_line_json(
    const std::vector<event_record>& line,
    const std::vector<node_events>& nodes);

} // namespace cyclamenhold
