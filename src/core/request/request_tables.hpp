// The configuration as the request path looks things up in it. Immutable;
// published by the control thread with each revision.
#pragma once

#include "core/configuration/model.hpp"

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
    // Sorted by descending prefix length.
    std::vector<route_entry> routes;
    std::unordered_map<std::string, key_entry> keys;
    std::unordered_map<workspace_id, workspace> workspaces;
};

[[nodiscard]] request_tables build_request_tables(const configuration& current);

// The route of a request, or nullptr. The path must start with the route's
// prefix, up to the end, a '/' or a '?'.
[[nodiscard]] const route_entry* find_route(
    const request_tables& tables, std::string_view method,
    std::string_view path);

// The digest under which a key's secret is kept.
[[nodiscard]] key_digest
digest_of_secret(std::string_view fleet_secret, std::string_view secret);

// Checks "cyk_<id>_<secret>" in constant time. Returns the workspace, or
// workspace_id::none for a key that is unknown, wrong or withdrawn.
[[nodiscard]] workspace_id authenticate(
    const request_tables& tables, std::string_view fleet_secret,
    std::string_view key);

} // namespace cyclamenhold
