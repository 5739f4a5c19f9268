// Fetches the events of many nodes.
#pragma once

#include "trace_arguments.hpp"

#include "adapters/operators_client.hpp"
#include "core/events/event_json.hpp"

#include <string>
#include <vector>

namespace cyclamenhold
{

// What came of asking one node.
struct node_events
{
    ip_endpoint node;
    // Why the node's events are missing, or are not all there; empty when
    // they are whole.
    std::string problem;
    // No event of the node is known.
    bool missing = false;
    event_page page;
};

// Asks the nodes that are given and, when wanted, those that they know. The
// answer is sorted by endpoint.
[[nodiscard]] std::vector<node_events> collect_events(
    const trace_arguments& arguments, const operators_access& access);

} // namespace cyclamenhold
