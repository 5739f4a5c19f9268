// Claims on never-repeat requests: asked of the steward of the key's shard, and
// kept there. Runs on the control thread only.
#pragma once

#include "core/base/random.hpp"
#include "core/claims/claim.hpp"
#include "core/membership/membership.hpp"
#include "core/rates/rates.hpp"
#include "ports/control_actions.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenhold
{

struct claims_settings
{
    host_id self = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
    // How long the outcome of a claimed request is kept.
    duration retention = 600s;
    // How long a claim may be used after it was granted.
    duration claim_term = 30s;
};

struct claims_inputs
{
    const configuration& current;
    const membership_state& members;
    const rates_state& rates;
    // The wall clock in milliseconds, only for keys that carry a time.
    std::uint64_t wall_clock_ms = 0;
};

struct claims_state
{
    claims_settings settings;
    // Answers to questions of this node, to be taken by the caller.
    std::vector<claim_answer> answers;
};

void claims_start(
    claims_state& state, const claims_settings& settings, time_point now,
    random_source& random, control_actions& actions);
void claims_tick(
    claims_state& state, const claims_inputs& inputs, time_point now,
    random_source& random, control_actions& actions);
void claims_on_message(
    claims_state& state, const claims_inputs& inputs,
    const incoming_message& message, time_point now, random_source& random,
    control_actions& actions);
[[nodiscard]] time_point claims_due(const claims_state& state);

// Asks for a claim; the answer appears in `state.answers`.
void claims_ask(
    claims_state& state, const claims_inputs& inputs,
    const claim_question& question, time_point now, random_source& random,
    control_actions& actions);

// Reports how a claimed request ended.
void claims_complete(
    claims_state& state, const claims_inputs& inputs,
    const claim_completion& completion, time_point now, random_source& random,
    control_actions& actions);

// A new ticket of this node's data centre; empty while no steward is known.
[[nodiscard]] std::string claims_issue_ticket(
    claims_state& state, const claims_inputs& inputs, random_source& random);

// The last gate's check: false for a claim of an older steward than one that
// was seen, or whose term has passed. Such a request is refused `not-run`.
[[nodiscard]] bool claims_accept_at_gate(
    claims_state& state, const claim_grant& grant, time_point now);

} // namespace cyclamenhold
