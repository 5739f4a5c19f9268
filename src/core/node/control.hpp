// The control side of one node: membership, configuration, rates and claims,
// driven by the same events in the real process and in tests.
#pragma once

#include "core/claims/claims.hpp"
#include "core/configuration/chain.hpp"
#include "core/configuration/document_source.hpp"
#include "core/membership/membership.hpp"
#include "core/quarantine/quarantine.hpp"
#include "core/rates/rates.hpp"

#include <cstdint>

namespace cyclamenhold
{

struct control_settings
{
    membership_settings membership;
    chain_settings chain;
    // Takes the chain's place where operators write whole documents.
    document_settings document;
    rates_settings rates;
    claims_settings claims;
};

// One node's control state. The rate_limiter is shared with the request path;
// everything else belongs to the control thread.
struct control_state
{
    membership_state membership;
    // Also holds the configuration in force, wherever it came from.
    chain_state chain;
    document_state document;
    rates_state rates;
    claims_state claims;
    quarantine_state quarantine;
    rate_limiter* limiter = nullptr;
    std::uint64_t wall_clock_ms = 0;
};

// `wall_clock_ms` becomes the incarnation; `limiter` outlives the state.
void control_start(
    control_state& state, const control_settings& settings,
    rate_limiter& limiter, std::uint64_t wall_clock_ms, time_point now,
    random_source& random, control_actions& actions);
void control_tick(
    control_state& state, std::uint64_t wall_clock_ms, time_point now,
    random_source& random, control_actions& actions);
void control_on_message(
    control_state& state, const incoming_message& message, time_point now,
    random_source& random, control_actions& actions);
void control_on_platform_reply(
    control_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions);

// When control_tick is due next.
[[nodiscard]] time_point control_due(const control_state& state);

// Announces the stop and hands back what this node holds for others.
void control_leave(
    control_state& state, time_point now, random_source& random,
    control_actions& actions);

[[nodiscard]] rates_inputs inputs_of_rates(control_state& state);
[[nodiscard]] claims_inputs inputs_of_claims(const control_state& state);

} // namespace cyclamenhold
