// Claims on never-repeat requests, as the request path sees them. Asking takes
// a round trip to the steward, so the answer comes later
// (src/core/claims/claims.hpp).
#pragma once

#include "core/base/request_context.hpp"

#include <cstdint>
#include <string>

namespace cyclamenhold
{

// Names a claim that the request path asked for.
using claim_token = std::uint64_t;

struct claim_request
{
    claim_token token = 0;
    workspace_id workspace = workspace_id::none;
    // The caller's idempotency key: a ticket, a UUIDv7 or any other text.
    std::string idempotency_key;
    // Two requests with one key and different digests are a caller's mistake.
    std::uint64_t digest = 0;
    time_point deadline{};
    trace_id trace;
};

enum class claim_status : std::uint8_t
{
    granted,
    // Nothing ran and nothing will under this question: no steward can claim.
    unavailable,
    // Another request with this key is under way.
    in_progress,
    // It ran; the reply is in `status` and `body` when still held.
    finished,
    // It may have run.
    unknown,
    // The key was used for a different request.
    mismatch
};

// A short reply kept for repeats of the request.
struct stored_reply
{
    // 0 when the reply is no longer held.
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
};

struct claim_answer
{
    claim_token token = 0;
    claim_status status = claim_status::unavailable;
    claim_grant grant;
    stored_reply reply;
};

// How a claimed request ended.
struct claim_completion
{
    claim_grant grant;
    workspace_id workspace = workspace_id::none;
    std::string idempotency_key;
    // `not_run` frees the key for another try.
    outcome result = outcome::unknown;
    stored_reply reply;
};

constexpr std::size_t max_stored_reply_bytes = 16 * 1024;

} // namespace cyclamenhold
