// Makes the keys that callers show.
#pragma once

#include "core/configuration/model.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace cyclamenhold
{

struct new_key
{
    // What the caller is given, once: "cyk_<id>_<secret>".
    std::string key;
    // What the configuration keeps.
    workspace_key entry;
};

// Makes a random secret for the key `id` of a workspace.
[[nodiscard]] absl::StatusOr<new_key> make_key(
    const std::string& id, const std::string& workspace,
    std::string_view fleet_secret);

} // namespace cyclamenhold
