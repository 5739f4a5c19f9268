// The configuration in the form of lookup tables for the request path.
// Immutable; published by the control thread with each revision.
#pragma once

#include "core/base/random.hpp"
#include "core/configuration/model.hpp"
#include "core/placement/placement.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

struct route_entry
{
    route settings;
    service_id service = service_id::none;
    route_id id = route_id::none;
    // The services of a traffic split, with their cumulative weights.
    std::vector<std::pair<double, service_id>> split;
    region_limit regions;
};

struct key_entry
{
    key_digest digest{};
    workspace_id workspace = workspace_id::none;
    bool withdrawn = false;
};

struct request_tables
{
    std::uint64_t revision = 0;
    // By host; the empty host is for routes of any host. Each list is sorted by
    // descending prefix length.
    std::unordered_map<std::string, std::vector<route_entry>> routes;
    std::unordered_map<std::string, key_entry> keys;
    // Opaque keys by the digest of their whole text.
    std::unordered_map<std::string, key_entry> opaque_keys;
    std::unordered_map<workspace_id, workspace> workspaces;
    // Of the workspaces that are limited to regions.
    std::unordered_map<workspace_id, region_limit> workspace_regions;
    caller_limits limits;
    // See `configuration`.
    bool has_unreadable_keys = false;
    bool has_unplaced_entries = false;
};

[[nodiscard]] request_tables build_request_tables(const configuration& current);

// Returns the route of a request, or nullptr. The path must start with the
// route's prefix, followed by its end, a '/' or a '?'. `host` is the request's
// Host field. Routes of that host take precedence.
[[nodiscard]] const route_entry* find_route(
    const request_tables& tables, std::string_view host,
    std::string_view method, std::string_view path);

// Returns the service for a request of this route, drawn by weight when the
// route has a split.
[[nodiscard]] service_id
draw_service(const route_entry& route, random_source& random);

// The digest under which a key's secret is stored.
[[nodiscard]] key_digest
digest_of_secret(std::string_view fleet_secret, std::string_view secret);

// Checks an opaque key, or "cyk_<id>_<secret>" in constant time. Returns the
// workspace, or workspace_id::none for a key that is unknown, wrong or
// withdrawn.
[[nodiscard]] workspace_id authenticate(
    const request_tables& tables, std::string_view fleet_secret,
    std::string_view key);

} // namespace cyclamenhold
