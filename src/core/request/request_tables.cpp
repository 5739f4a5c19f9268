#include "core/request/request_tables.hpp"

#include <algorithm>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace cyclamenhold
{
namespace
{

constexpr std::string_view key_prefix = "cyk_";

bool matches(
    const route_entry& entry, std::string_view method, std::string_view path)
{
    const route& settings = entry.settings;
    if (!settings.method.empty() && settings.method != method)
    {
        return false;
    }
    if (!path.starts_with(settings.path_prefix))
    {
        return false;
    }
    if (path.size() == settings.path_prefix.size() ||
        settings.path_prefix.ends_with('/'))
    {
        return true;
    }
    const char next = path[settings.path_prefix.size()];
    return next == '/' || next == '?';
}

route_entry entry_of(const route& settings)
{
    route_entry entry{
        settings,
        service_id_of(settings.service),
        route_id_of(settings.name),
        {},
        limit_to(settings.regions)};
    double sum = 0.0;
    for (const auto& part : settings.split)
    {
        sum += part.weight;
        entry.split.emplace_back(sum, service_id_of(part.service));
    }
    return entry;
}

void sort_by_prefix(std::vector<route_entry>& routes)
{
    std::ranges::stable_sort(
        routes,
        [](const route_entry& left, const route_entry& right)
        {
            const auto size_of = [](const route_entry& entry)
            {
                return std::pair(
                    entry.settings.path_prefix.size(),
                    !entry.settings.method.empty());
            };
            return size_of(left) > size_of(right);
        });
}

// A route without a readable prefix may be longer than any other prefix of its
// host, so that no request of the host certainly belongs to another route.
void refuse_unplaced_routes(std::vector<route_entry>& routes)
{
    const bool has_unplaced = std::ranges::any_of(
        routes,
        [](const route_entry& entry)
        {
            return entry.settings.is_unreadable &&
                   entry.settings.path_prefix.empty();
        });
    for (auto& entry : routes)
    {
        entry.settings.is_unreadable |= has_unplaced;
    }
}

std::string text_of(const key_digest& digest)
{
    return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

const route_entry* find_in(
    const request_tables& tables, const std::string& host,
    std::string_view method, std::string_view path)
{
    const auto routes = tables.routes.find(host);
    if (routes == tables.routes.end())
    {
        return nullptr;
    }
    for (const auto& entry : routes->second)
    {
        if (matches(entry, method, path))
        {
            return &entry;
        }
    }
    return nullptr;
}

// Opaque keys are looked up by a keyed digest, so that the time of the lookup
// reveals nothing about them.
workspace_id authenticate_opaque(
    const request_tables& tables, std::string_view fleet_secret,
    std::string_view key)
{
    const auto found =
        tables.opaque_keys.find(text_of(digest_of_secret(fleet_secret, key)));
    if (found == tables.opaque_keys.end() || found->second.withdrawn)
    {
        return workspace_id::none;
    }
    return found->second.workspace;
}

} // namespace

request_tables build_request_tables(const configuration& current)
{
    request_tables tables;
    tables.revision = current.revision;
    tables.limits = current.limits;
    tables.has_unreadable_keys = current.has_unreadable_keys;
    tables.has_unplaced_entries = current.has_unplaced_entries;
    for (const auto& route : current.routes)
    {
        tables.routes[route.host].push_back(entry_of(route));
    }
    for (auto& [host, routes] : tables.routes)
    {
        sort_by_prefix(routes);
        refuse_unplaced_routes(routes);
    }
    for (const auto& key : current.keys)
    {
        const key_entry entry{
            key.digest, workspace_id_of(key.workspace), key.withdrawn};
        if (key.id.empty())
        {
            tables.opaque_keys.emplace(text_of(key.digest), entry);
            continue;
        }
        tables.keys.emplace(key.id, entry);
    }
    for (const auto& entry : current.workspaces)
    {
        tables.workspaces.emplace(workspace_id_of(entry.name), entry);
        if (!entry.regions.empty())
        {
            tables.workspace_regions.emplace(
                workspace_id_of(entry.name), limit_to(entry.regions));
        }
    }
    return tables;
}

const route_entry* find_route(
    const request_tables& tables, std::string_view host,
    std::string_view method, std::string_view path)
{
    const std::string name(host.substr(0, host.find(':')));
    if (const auto* const found = find_in(tables, name, method, path))
    {
        return found;
    }
    return name.empty() ? nullptr : find_in(tables, {}, method, path);
}

service_id draw_service(const route_entry& route, random_source& random)
{
    if (route.split.empty())
    {
        return route.service;
    }
    const double drawn = random_fraction(random) * route.split.back().first;
    for (const auto& [up_to, service] : route.split)
    {
        if (drawn < up_to)
        {
            return service;
        }
    }
    return route.split.back().second;
}

key_digest
digest_of_secret(std::string_view fleet_secret, std::string_view secret)
{
    key_digest digest{};
    unsigned int size = 0;
    HMAC(
        EVP_sha256(), fleet_secret.data(),
        static_cast<int>(fleet_secret.size()),
        reinterpret_cast<const unsigned char*>(secret.data()), secret.size(),
        digest.data(), &size);
    return digest;
}

workspace_id authenticate(
    const request_tables& tables, std::string_view fleet_secret,
    std::string_view key)
{
    if (!tables.opaque_keys.empty())
    {
        const auto found = authenticate_opaque(tables, fleet_secret, key);
        if (found != workspace_id::none)
        {
            return found;
        }
    }
    if (!key.starts_with(key_prefix))
    {
        return workspace_id::none;
    }
    key.remove_prefix(key_prefix.size());
    const auto separator = key.find('_');
    if (separator == std::string_view::npos)
    {
        return workspace_id::none;
    }
    const std::string id(key.substr(0, separator));
    const key_digest digest =
        digest_of_secret(fleet_secret, key.substr(separator + 1));
    const auto found = tables.keys.find(id);
    // An unknown id takes the same comparison as a known one.
    static constexpr key_digest unknown{};
    const key_digest& expected =
        found == tables.keys.end() ? unknown : found->second.digest;
    const bool equal =
        CRYPTO_memcmp(digest.data(), expected.data(), digest.size()) == 0;
    if (!equal || found == tables.keys.end() || found->second.withdrawn)
    {
        return workspace_id::none;
    }
    return found->second.workspace;
}

} // namespace cyclamenhold
