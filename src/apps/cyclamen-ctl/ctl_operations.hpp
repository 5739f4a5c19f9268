// The operations of the intent API that a command stands for.
#pragma once

#include "ctl_arguments.hpp"

#include "core/configuration/model.hpp"

#include <string>

namespace cyclamenhold
{

// The body of POST /v1/intents for a command that changes one thing. `key` is
// used by `key add` only.
[[nodiscard]] std::string
intent_of(const ctl_arguments& arguments, const workspace_key& key);

} // namespace cyclamenhold
