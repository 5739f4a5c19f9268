// A steward's memory of claims, and the decision on a question.
#pragma once

#include "core/claims/claim.hpp"
#include "core/rates/pledges.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace cyclamenhold
{

enum class claim_record_state : std::uint8_t
{
    // Granted; unknown once its term has passed.
    in_progress,
    finished,
    unknown
};

// Who asked; a repeat of the same question gets the same answer.
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
    // Counted by the steward, from its answer.
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

// What the steward knows while it decides.
struct claim_decision_inputs
{
    steward_office lease;
    // When this data centre became the home of the keys that are hashed to it.
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

// Wall clocks of nodes differ by at most this much; a timed key further in
// the future is not granted.
constexpr std::uint64_t wall_clock_tolerance_ms = 5000;

// Decides on a question and records what it grants. The lease must be held.
[[nodiscard]] claim_decision decide_claim(
    claim_records& records, const claim_decision_inputs& inputs,
    const claim_key& name, std::uint64_t digest,
    const claim_requester& requester, time_point now);

// The shard and data centre in a claim's id, for the last gate.
[[nodiscard]] constexpr std::uint64_t claim_scope(std::uint64_t claim_id)
{
    return claim_id >> 24;
}

// Takes in how a claimed request ended; safe to repeat.
void complete_claim(
    claim_records& records, const claim_key& name, std::uint64_t epoch,
    std::uint64_t claim_id, outcome result, const stored_reply& reply);

// The requester has given up its question and will not use any answer to it.
void withdraw_claim(
    claim_records& records, const claim_key& name,
    const claim_requester& requester);

// Forgets records that no key can refer to any more.
void expire_claims(claim_records& records, duration retention, time_point now);

} // namespace cyclamenhold
