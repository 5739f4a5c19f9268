// A complete node: its threads, ports and shared parts, from start to planned
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

// The bound ports, for settings that request any free port.
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

// The result of a planned stop.
struct stop_report
{
    // Requests still under way when the wait ended.
    std::size_t unfinished = 0;
};

struct node_runtime;

// Binds all ports and starts all threads. After an error nothing is left
// running.
[[nodiscard]] absl::StatusOr<std::shared_ptr<node_runtime>> start_node(
    const node_settings& settings, const node_secrets& secrets,
    const protocol_profile& profile, const json_log& log);

[[nodiscard]] bound_ports ports_of(const node_runtime& node);

// Applies a changed settings file. Settings that can change while the node runs
// take effect at once; those that need a restart are named in the log. A file
// with findings changes nothing.
void reload_node(node_runtime& node, const settings_result& result);

// True once an operator has requested the planned stop of the node.
[[nodiscard]] bool stop_requested(const node_runtime& node);

// Stops gracefully: announces the stop to the fleet, refuses new requests and
// finishes those under way. The wait ends early when `abort_requests` becomes
// true.
[[nodiscard]] stop_report
stop_node(node_runtime& node, const std::atomic<bool>& abort_requests);

} // namespace cyclamenhold
