// A steward's records of claims, and the decision on a claim request.
#pragma once

#include "core/claims/claim.hpp"
#include "core/rates/weight_leases.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace cyclamenhold
{

enum class claim_record_state : std::uint8_t
{
    // Granted; treated as unknown after the end of its term.
    in_progress,
    finished,
    unknown
};

// Identifies a claim request; a repeat of it gets the same answer.
struct claim_requester
{
    host_id host = host_id::none;
    incarnation requester_incarnation = 0;
    claim_token token = 0;
    bool operator==(const claim_requester&) const = default;
};

struct claim_record
{
    claim_record_state state = claim_record_state::in_progress;
    claim_requester requester;
    std::uint64_t digest = 0;
    std::uint64_t epoch = 0;
    std::uint64_t claim_id = 0;
    time_point granted_at{};
    // By the steward's clock, from the time of its answer.
    time_point term_ends_at{};
    stored_reply reply;
};

struct claim_key
{
    workspace_id workspace = workspace_id::none;
    std::string key;
    bool operator<(const claim_key& other) const
    {
        return workspace != other.workspace ? workspace < other.workspace
                                            : key < other.key;
    }
};

struct claim_records
{
    std::map<claim_key, claim_record> entries;
    std::uint64_t last_claim_number = 0;
};

// The steward's state that a decision depends on.
struct claim_decision_inputs
{
    steward_lease lease;
    // When the distribution of keys over data centres last changed: claims on
    // this data centre's keys may have been granted elsewhere before.
    time_point home_since{};
    data_centre_id data_centre = data_centre_id::none;
    std::uint32_t shard = 0;
    std::uint64_t wall_clock_ms = 0;
    duration retention{};
    duration claim_term{};
};

struct claim_decision
{
    claim_status status = claim_status::unavailable;
    std::uint64_t claim_id = 0;
    duration term{};
    stored_reply reply;
};

// The largest assumed difference between the wall clocks of two nodes. A key
// whose time is further in the future is not granted.
constexpr std::uint64_t wall_clock_tolerance_ms = 5000;

// Decides on a claim request and records the claim if granted. This node must
// hold the steward lease.
[[nodiscard]] claim_decision decide_claim(
    claim_records& records, const claim_decision_inputs& inputs,
    const claim_key& claimed_key, std::uint64_t digest,
    const claim_requester& requester, time_point now);

// Returns the data centre and shard in a claim id, for the upstream gate.
[[nodiscard]] constexpr std::uint64_t claim_scope(std::uint64_t claim_id)
{
    return claim_id >> 24;
}

// Records the outcome of a claimed request. Idempotent.
void complete_claim(
    claim_records& records, const claim_key& claimed_key, std::uint64_t epoch,
    std::uint64_t claim_id, outcome result, const stored_reply& reply);

// Deletes a claim in progress of a request that its requester has abandoned.
// The requester uses no later answer to it.
void withdraw_claim(
    claim_records& records, const claim_key& claimed_key,
    const claim_requester& requester);

// Deletes records that are older than `retention`, to which no valid key can
// refer.
void expire_claims(claim_records& records, duration retention, time_point now);

} // namespace cyclamenhold
