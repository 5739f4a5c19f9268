// The control side of one node: membership, configuration, rates, claims and
// quarantine. The node process and the tests pass it the same events.
#pragma once

#include "core/claims/claims.hpp"
#include "core/configuration/chain.hpp"
#include "core/configuration/document_source.hpp"
#include "core/departures/departure_record.hpp"
#include "core/membership/membership.hpp"
#include "core/quarantine/quarantine.hpp"
#include "core/rates/rates.hpp"
#include "core/trees/trees.hpp"

#include <cstdint>
#include <vector>

namespace cyclamenhold
{

struct control_settings
{
    membership_settings membership;
    chain_settings chain;
    // Used instead of the chain if operators write whole documents to the
    // store.
    document_settings document;
    rates_settings rates;
    claims_settings claims;
    trees_settings trees;
    // Whether upstream processes identify themselves, so that those that have
    // left can be recorded.
    bool records_departures = false;
};

// The control state of one node. The rate_limiter is shared with the request
// path; only the control thread accesses the rest.
struct control_state
{
    membership_state membership;
    // Also holds the current configuration if that came from a document.
    chain_state chain;
    document_state document;
    rates_state rates;
    claims_state claims;
    quarantine_state quarantine;
    departure_record departures;
    trees_state trees;
    rate_limiter* limiter = nullptr;
    // Null if call trees have no budgets.
    tree_observer* observer = nullptr;
    tree_admission* tree_budget = nullptr;
    std::uint64_t wall_clock_ms = 0;
    // When this node first had a configuration; zero if it has none.
    time_point configured_at{};
    bool may_serve = false;
    // The era of the platform in the newest reply; zero if it names none.
    std::uint64_t platform_era = 0;
    // The data centres that are evacuated now, sorted.
    std::vector<data_centre_id> evacuated;
};

// A node that has a configuration but neither the platform's nor a member's
// quarantine serves without one after this time.
constexpr duration longest_quarantine_wait = 3s;

// Starts all subsystems. `wall_clock_ms` (since the Unix epoch) becomes the
// node's incarnation; `limiter` must outlive `state`.
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

// Records that a process of this host's upstream has announced its departure.
void control_on_departure(
    control_state& state, const departed_process& process, time_point now,
    random_source& random, control_actions& actions);

// The time at which control_tick must run next.
[[nodiscard]] time_point control_due(const control_state& state);

// Whether this node may run requests: it has a configuration and knows the
// quarantined requests, or has waited for those for long enough.
[[nodiscard]] bool control_may_serve(control_state& state, time_point now);

// Releases the loans and weight leases that this node holds, and announces to
// the other members that it stops.
void control_leave(
    control_state& state, time_point now, random_source& random,
    control_actions& actions);

[[nodiscard]] rates_inputs inputs_of_rates(control_state& state);
[[nodiscard]] claims_inputs inputs_of_claims(const control_state& state);

} // namespace cyclamenhold
