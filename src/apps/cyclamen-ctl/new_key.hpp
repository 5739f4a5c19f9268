// Creates the keys that callers send with their requests.
#pragma once

#include "core/configuration/model.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace cyclamenhold
{

struct new_key
{
    // "cyk_<id>_<secret>". It is shown once, since only its digest is stored.
    std::string key;
    // The configuration entry with the digest of the secret.
    workspace_key entry;
};

// Creates the key `id` of a workspace, with a random secret. Fails if the id is
// empty or contains an underscore, or if no random bytes are available.
[[nodiscard]] absl::StatusOr<new_key> make_key(
    const std::string& id, const std::string& workspace,
    std::string_view fleet_secret);

} // namespace cyclamenhold
