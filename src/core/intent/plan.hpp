// Plans: what an operator is shown before anything changes. A plan holds all
// that is needed to commit it and is authenticated under the fleet secret, so
// that any node can confirm it and none has to remember it.
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
    // Makes a commit idempotent; unique for each plan.
    std::string operation_id;
    // The JSON text of the operations.
    std::string operations;
    // Wall clock, milliseconds since 1970.
    std::uint64_t expires_at_ms = 0;
};

struct planned_change
{
    // When there are any, there is no plan.
    findings found;
    plan new_plan;
    // A line a change, for people.
    std::vector<std::string> diff;
};

constexpr std::uint64_t plan_lifetime_ms = 15 * 60 * 1000;

// Plans the operations of a JSON text against the present configuration.
[[nodiscard]] planned_change plan_change(
    const configuration& present, std::string_view operations_text,
    std::string operation_id, std::uint64_t wall_clock_ms);

// The plan as a token: base64url of its JSON, a dot, base64url of its MAC.
[[nodiscard]] std::string
sign_plan(const plan& value, std::string_view fleet_secret);

// Reads a token back. invalid_argument for one that is malformed,
// permission_denied when its MAC is wrong, deadline_exceeded when it has
// expired.
[[nodiscard]] absl::StatusOr<plan> verify_plan(
    std::string_view token, std::string_view fleet_secret,
    std::uint64_t wall_clock_ms);

} // namespace cyclamenhold
