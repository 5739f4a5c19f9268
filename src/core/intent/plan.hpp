// Plans show an operator the effect of a change before it is made. A plan holds
// all that is needed to commit it and is authenticated with the fleet secret,
// so that any node can confirm it and nodes store no plans.
#pragma once

#include "core/base/findings.hpp"
#include "core/configuration/model.hpp"
#include "core/intent/operations.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace cyclamenhold
{

struct plan
{
    std::uint64_t base_revision = 0;
    // Unique for each plan; makes its commit idempotent.
    std::string operation_id;
    // The operations as JSON text.
    std::string operations;
    // Wall clock, milliseconds since 1970.
    std::uint64_t expires_at_ms = 0;
};

struct planned_change
{
    // If there are any, `new_plan` is empty.
    findings found;
    plan new_plan;
    // One line per difference, in the format of diff_lines.
    std::vector<std::string> diff;
};

constexpr std::uint64_t plan_lifetime_ms = 15 * 60 * 1000;

// Plans the operations of a JSON text on the current configuration.
[[nodiscard]] planned_change plan_change(
    const configuration& present, std::string_view operations_text,
    std::string operation_id, std::uint64_t wall_clock_ms);

// The plan as a token: base64url of its JSON, a dot, base64url of its MAC.
[[nodiscard]] std::string
sign_plan(const plan& value, std::string_view fleet_secret);

// Verifies and decodes a token. Errors: invalid_argument if it is malformed,
// permission_denied if its MAC is wrong, deadline_exceeded if it has expired.
[[nodiscard]] absl::StatusOr<plan> verify_plan(
    std::string_view token, std::string_view fleet_secret,
    std::uint64_t wall_clock_ms);

} // namespace cyclamenhold
