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
    const auto& [settings, service] = entry;
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

} // namespace

request_tables build_request_tables(const configuration& current)
{
    request_tables tables;
    tables.revision = current.revision;
    for (const auto& route : current.routes)
    {
        tables.routes.push_back({route, service_id_of(route.service)});
    }
    std::ranges::stable_sort(
        tables.routes,
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
    for (const auto& key : current.keys)
    {
        tables.keys.emplace(
            key.id,
            key_entry{
                key.digest, workspace_id_of(key.workspace), key.withdrawn});
    }
    for (const auto& entry : current.workspaces)
    {
        tables.workspaces.emplace(workspace_id_of(entry.name), entry);
    }
    return tables;
}

const route_entry* find_route(
    const request_tables& tables, std::string_view method,
    std::string_view path)
{
    for (const auto& entry : tables.routes)
    {
        if (matches(entry, method, path))
        {
            return &entry;
        }
    }
    return nullptr;
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
    // An unknown id costs the same comparison as a known one.
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
