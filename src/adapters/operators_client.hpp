// A blocking client of nodes' operators' API, for the command line tools.
#pragma once

#include "core/base/ip_endpoint.hpp"
#include "core/base/time.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace cyclamenhold
{

struct operators_request
{
    std::string method = "GET";
    std::string target;
    std::string body;
};

struct operators_reply
{
    unsigned status = 0;
    std::string body;
};

// The credential and the timeout of calls to the operators' API.
struct operators_access
{
    std::string credential;
    duration timeout = 10s;
};

// Sends the same request to all nodes concurrently and waits for all replies,
// which are in the order of the nodes. Errors: Unavailable if the request was
// not sent; DeadlineExceeded if there was no reply, when the request may have
// taken effect; ResourceExhausted if the reply is too long.
[[nodiscard]] std::vector<absl::StatusOr<operators_reply>> call_nodes(
    const std::vector<ip_endpoint>& nodes, const operators_request& request,
    const operators_access& access);

// As call_nodes, for one node.
[[nodiscard]] absl::StatusOr<operators_reply> call_node(
    const ip_endpoint& node, const operators_request& request,
    const operators_access& access);

} // namespace cyclamenhold
