// A whole node: its threads, ports and shared parts, from settings to a planned
// stop.
#pragma once

#include "adapters/call_driver.hpp"
#include "adapters/caller_session.hpp"
#include "adapters/control_loop.hpp"
#include "adapters/logging.hpp"
#include "adapters/metrics.hpp"
#include "adapters/operators_api.hpp"
#include "adapters/settings.hpp"
#include "adapters/shared_event_ring.hpp"

#include <absl/status/statusor.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenhold
{

// The ports that were bound, for settings that ask for any free one.
struct bound_ports
{
    ip_endpoint callers;
    ip_endpoint upstream;
    ip_endpoint peers;
    ip_endpoint operators;
};

struct node_secrets
{
    std::string fleet_secret;
    std::string operator_credential;
};

// How a planned stop ended.
struct stop_report
{
    // Requests that were still under way when the bound was reached.
    std::size_t unfinished = 0;
};

struct node_runtime;

// Binds all ports and starts all threads. Nothing is left running when it
// fails.
[[nodiscard]] absl::StatusOr<std::shared_ptr<node_runtime>> start_node(
    const node_settings& settings, const node_secrets& secrets,
    const protocol_profile& profile, const json_log& log);

[[nodiscard]] bound_ports ports_of(const node_runtime& node);

// Takes a changed settings file. What can change while the node runs does so
// at once; what can't is named in the log. A file with findings changes
// nothing.
void reload_node(node_runtime& node, const settings_result& read);

// True once an operator has asked for the node's planned stop.
[[nodiscard]] bool stop_requested(const node_runtime& node);

// Stops gracefully: tells the fleet, takes no new work, finishes what is under
// way. `stop_now` ends the wait when it becomes true.
[[nodiscard]] stop_report
stop_node(node_runtime& node, const std::atomic<bool>& stop_now);

} // namespace cyclamenhold
