// The values that decided a refusal, as text for logs, with their version or
// age.
#pragma once

#include "core/base/time.hpp"
#include "core/rates/rate_limiter.hpp"
#include "core/request/request_tables.hpp"
#include "core/request/route_throttle.hpp"
#include "core/routing/routing.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhold
{

// For example "version 7".
[[nodiscard]] std::string version_inputs(const request_tables& tables);

// For stale keys: the version, and how long ago its last proof expired.
[[nodiscard]] std::string
stale_key_inputs(const request_tables& tables, duration since_expiry);

[[nodiscard]] std::string rate_inputs(
    const request_tables& tables, std::string_view workspace,
    const token_answer& answer);

[[nodiscard]] std::string
throttle_inputs(std::string_view route, const throttle_state& state);

[[nodiscard]] std::string
choice_inputs(const routing_choice& choice, std::size_t tried);

} // namespace cyclamenhold
