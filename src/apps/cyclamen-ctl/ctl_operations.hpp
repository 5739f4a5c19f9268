// Translates commands to operations of the intent API.
#pragma once

#include "ctl_arguments.hpp"

#include "core/configuration/model.hpp"

#include <string>

namespace cyclamenhold
{

// The body of POST /v1/intents for a command that puts, removes or withdraws
// one entry. Only `key add` uses `key`.
[[nodiscard]] std::string
intent_of(const ctl_arguments& arguments, const workspace_key& key);

} // namespace cyclamenhold
