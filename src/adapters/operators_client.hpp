// Calls to the operators' API of nodes, for the command line tools.
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

// How the operators' API is reached.
struct operators_access
{
    std::string credential;
    duration timeout = 10s;
};

// Sends the same request to all nodes at once and waits for all of them. The
// answers are in the order of the nodes; Unavailable stands for a node that
// was not reached, DeadlineExceeded for one whose answer did not come: its
// request may have taken effect.
[[nodiscard]] std::vector<absl::StatusOr<operators_reply>> call_nodes(
    const std::vector<ip_endpoint>& nodes, const operators_request& request,
    const operators_access& access);

[[nodiscard]] absl::StatusOr<operators_reply> call_node(
    const ip_endpoint& node, const operators_request& request,
    const operators_access& access);

} // namespace cyclamenhold
