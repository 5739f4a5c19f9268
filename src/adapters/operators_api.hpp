// The operators' HTTP port: intents, status, configuration, events, metrics.
// Served on the control thread, which owns the state that the port reports.
#pragma once

#include "adapters/control_loop.hpp"

#include <boost/asio.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace cyclamenhold
{

struct operator_request
{
    std::string method;
    // Path and query.
    std::string target;
    std::string body;
};

struct operator_reply
{
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

using operator_callback = std::function<void(operator_reply)>;

// The state and callbacks of the operators' port.
struct operators_api
{
    control_loop* control = nullptr;
    std::string credential;
    std::string node_name;
    // Returns the body of GET /metrics.
    std::function<std::string()> metrics;
    // Returns the reply to GET /v1/events for a target (path and query).
    std::function<operator_reply(const std::string&)> events;
    // Whether this node accepts callers, for GET /ready.
    std::function<bool()> ready;
    // Whether GET /metrics needs no credential.
    bool has_open_metrics = false;
    // Starts the node's planned stop.
    std::function<void()> drain;
};

// Handles one authenticated request. Calls `done` exactly once, before this
// returns or later.
void handle_operator_request(
    operators_api& api, const operator_request& request,
    operator_callback done);

// Serves connections until the acceptor is closed.
[[nodiscard]] asio::awaitable<void>
serve_operators(operators_api& api, asio::ip::tcp::acceptor& acceptor);

} // namespace cyclamenhold
