// The chain of accepted configuration changes: read from the platform by a few
// watchers, learned from peers by all others, applied in order and only
// forward. Runs on the control thread only.
#pragma once

#include "core/base/findings.hpp"
#include "core/base/random.hpp"
#include "core/configuration/model.hpp"
#include "core/membership/membership.hpp"
#include "ports/control_actions.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenhold
{

// Names a commit that the intent API asked for.
using commit_token = std::uint64_t;

enum class commit_status : std::uint8_t
{
    // In the chain at `revision`.
    committed,
    // Another change took the revision; `detail` says which.
    conflict,
    // The platform did not answer; the change may still appear. Asking again
    // with the same operation id is safe.
    unknown,
    // The change does not fit the present configuration.
    invalid
};

struct commit_result
{
    commit_token token = 0;
    commit_status status = commit_status::unknown;
    std::uint64_t revision = 0;
    std::string detail;
};

struct chain_settings
{
    host_id self = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
};

struct chain_state
{
    chain_settings settings;
    // Never null; revision 0 is the empty configuration.
    std::shared_ptr<const configuration> current =
        std::make_shared<const configuration>();
    // Finished commits, to be taken by the caller.
    std::vector<commit_result> results;
};

void chain_start(
    chain_state& state, const chain_settings& settings, time_point now,
    random_source& random, control_actions& actions);
void chain_tick(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions);
void chain_on_message(
    chain_state& state, const membership_state& members,
    const incoming_message& message, time_point now, random_source& random,
    control_actions& actions);
void chain_on_platform_reply(
    chain_state& state, const membership_state& members,
    const platform_reply& reply, time_point now, random_source& random,
    control_actions& actions);
[[nodiscard]] time_point chain_due(const chain_state& state);

// Appends a change, given as the JSON text of its operations
// (src/core/intent), after `base_revision`. `operation_id` makes it idempotent.
// The result appears in `state.results`.
void chain_commit(
    chain_state& state, commit_token token, std::uint64_t base_revision,
    const std::string& operation_id, const std::string& operations,
    time_point now, random_source& random, control_actions& actions);

} // namespace cyclamenhold
