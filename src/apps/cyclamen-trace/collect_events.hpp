// Fetches the events of many nodes.
#pragma once

#include "trace_arguments.hpp"

#include "adapters/operators_client.hpp"
#include "core/events/event_json.hpp"

#include <string>
#include <vector>

namespace cyclamenhold
{

// The events of one node, or the reason why they are missing.
struct node_events
{
    ip_endpoint node;
    // Why events of the node are missing or incomplete; empty if all were
    // received.
    std::string problem;
    // No page of events was received from the node.
    bool missing = false;
    event_page page;
};

// Fetches the events of the given nodes and, if `arguments.discover` is set, of
// the members in their status. The result is sorted by endpoint.
[[nodiscard]] std::vector<node_events> collect_events(
    const trace_arguments& arguments, const operators_access& access);

} // namespace cyclamenhold
