// Claims on never-repeat requests: a node requests a claim from the steward of
// the key's shard, which records it. Runs on the control thread only.
#pragma once

#include "core/base/random.hpp"
#include "core/claims/claim.hpp"
#include "core/claims/records.hpp"
#include "core/membership/membership.hpp"
#include "core/rates/rates.hpp"
#include "ports/control_actions.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenhold
{

struct claims_settings
{
    host_id self = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
    // How long the outcome of a claimed request is stored.
    duration retention = 600s;
    // How long a claim is valid after it was granted.
    duration claim_term = 30s;
    // A claim request without an answer for this duration ends `unavailable`.
    duration claim_request_timeout = 2s;
};

struct claims_inputs
{
    const configuration& current;
    const membership_state& members;
    const rates_state& rates;
    // Milliseconds since the Unix epoch; used only for keys that contain a
    // time.
    std::uint64_t wall_clock_ms = 0;
};

// A claim request of this node that has no answer yet.
struct pending_claim_request
{
    claim_request request;
    // The claim's term starts at the first transmission.
    time_point first_sent_at{};
    time_point next_send_at{};
    time_point expires_at{};
    std::set<host_id> contacted_stewards;
};

// A completion or withdrawal that the steward has not acknowledged.
struct pending_completion
{
    host_id steward = host_id::none;
    claim_completion completion;
    // Identifies the claim request of a withdrawal, which has no claim id.
    claim_token token = 0;
    time_point next_send_at{};
    duration interval{};
    time_point expires_at{};
};

// A claim granted to this node whose request has not ended.
struct held_claim
{
    host_id steward = host_id::none;
    time_point valid_until{};
};

struct claims_state
{
    claims_settings settings;
    // Answers to claim requests of this node; the caller removes them.
    std::vector<claim_answer> answers;
    // Private to the claims code.
    std::map<claim_token, pending_claim_request> pending_requests;
    std::map<std::uint64_t, pending_completion> completions;
    std::uint64_t last_sequence = 0;
    // By epoch and claim id.
    std::map<std::uint64_t, std::map<std::uint64_t, held_claim>> held_claims;
    std::array<claim_records, shard_count> records;
    // A hash of the data centres that keys are distributed over, and when it
    // last changed.
    std::uint64_t homes_digest = 0;
    time_point homes_changed_at = time_point::min();
    time_point next_cleanup_at{};
    // The newest epoch accepted by the upstream gate, by claim_scope.
    std::map<std::uint64_t, std::uint64_t> gate_epochs;
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

// Requests a claim. The answer is added to `state.answers`, before the return
// when this node is the steward.
void claims_request(
    claims_state& state, const claims_inputs& inputs,
    const claim_request& request, time_point now, random_source& random,
    control_actions& actions);

// Reports the outcome of a claimed request to the steward. `not_run` is valid
// only if the claim will not be used again.
void claims_complete(
    claims_state& state, const claims_inputs& inputs,
    const claim_completion& completion, time_point now, random_source& random,
    control_actions& actions);

// Returns a new ticket of this node's data centre; empty while no steward is
// known.
[[nodiscard]] std::string claims_issue_ticket(
    claims_state& state, const claims_inputs& inputs, random_source& random);

// The upstream gate's check. Returns false for a claim whose term has ended or
// whose steward epoch is older than one accepted before; the request is then
// refused as `not-run`.
[[nodiscard]] bool claims_accept_at_gate(
    claims_state& state, const claim_grant& grant, time_point now);

} // namespace cyclamenhold
