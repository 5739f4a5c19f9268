// The operators' configuration at one revision.
#pragma once

#include "core/base/findings.hpp"
#include "core/base/ids.hpp"
#include "core/base/outcome.hpp"
#include "core/base/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenhold
{

struct workspace
{
    std::string name;
    // Requests per second over the whole fleet.
    double rate = 0.0;
    // Size of the token bucket in requests, over the whole fleet.
    double burst = 0.0;
    // No rate limit; `rate` and `burst` are ignored.
    bool unlimited = false;
    // Overrides the priority of the routes.
    std::optional<priority_class> priority = std::nullopt;
    // The rate could not be read. Requests with this workspace's keys are
    // refused.
    bool is_unreadable = false;
    // The regions to which its requests are limited; empty if they may run
    // anywhere.
    std::vector<std::string> regions = {};
    bool operator==(const workspace&) const = default;
};

// HMAC-SHA256 of a key's secret under the fleet secret.
using key_digest = std::array<std::uint8_t, 32>;

struct workspace_key
{
    // The public part of "cyk_<id>_<secret>". Empty for an opaque key, whose
    // digest covers the whole text.
    std::string id;
    std::string workspace;
    key_digest digest{};
    bool withdrawn = false;
    bool operator==(const workspace_key&) const = default;
};

// One of the services that share the requests of a route.
struct weighted_service
{
    std::string service;
    double weight = 1.0;
    bool operator==(const weighted_service&) const = default;
};

struct route
{
    std::string name;
    // The Host header of the request, without a port; empty for any.
    std::string host;
    // Empty for any method.
    std::string method;
    // The longest matching prefix wins.
    std::string path_prefix;
    std::string service;
    // Instead of `service`: each request goes to a random one of these, by
    // weight.
    std::vector<weighted_service> split;
    priority_class priority = priority_class::normal;
    // Requests need no key.
    bool open = false;
    // The request must reach an upstream at most once.
    bool never_repeat = false;
    std::uint16_t retry_allowance = 2;
    std::chrono::milliseconds deadline{5000};
    // The service or the need for a key could not be read, or the prefix, which
    // is empty then. Requests that match are refused. Without a prefix, all
    // requests of the route's host are.
    bool is_unreadable = false;
    // As `workspace::regions`. A request must keep both.
    std::vector<std::string> regions = {};
    bool operator==(const route&) const = default;
};

struct data_centre
{
    std::string name;
    std::string region;
    // The share of all rates, relative to the weights of the other data
    // centres.
    double weight = 1.0;
    bool operator==(const data_centre&) const = default;
};

// Settings of a service that its upstreams do not announce.
struct service_settings
{
    std::string name;
    // Connections that each upstream accepts; zero if not set.
    std::uint32_t connections = 0;
    // The path of the upstreams' health check; empty if there is none.
    std::string health_path;
    // Requests a second that an upstream takes while it is cold; zero if they
    // are not limited.
    double cold_rate = 0.0;
    bool operator==(const service_settings&) const = default;
};

// Limits for requests of callers; for a zero, the node's own setting applies.
struct caller_limits
{
    std::uint32_t max_header_bytes = 0;
    std::uint64_t max_body_bytes = 0;
    std::chrono::milliseconds header_timeout{};
    std::chrono::milliseconds idle_timeout{};
    bool operator==(const caller_limits&) const = default;
};

struct configuration
{
    // Increases with each accepted change; 0 is the empty configuration.
    std::uint64_t revision = 0;
    std::vector<workspace> workspaces;
    std::vector<workspace_key> keys;
    std::vector<route> routes;
    std::vector<data_centre> data_centres;
    std::vector<service_settings> services;
    caller_limits limits;
    // What this node could not read of the operators' document, with places.
    findings unreadable;
    // The document has keys that could not be read, so an unknown key may be
    // valid.
    bool has_unreadable_keys = false;
    // The document has entries that could not be read and may be routes, so a
    // request without a route may have one.
    bool has_unplaced_entries = false;
    bool operator==(const configuration&) const = default;
};

// The regions to which routes and workspaces are limited and in which no data
// centre is, with their places.
[[nodiscard]] findings find_unknown_regions(const configuration& current);

} // namespace cyclamenhold
