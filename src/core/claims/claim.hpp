// Claims on never-repeat requests: the types that the request path uses. A
// claim is the exclusive right to run a request once. A claim request takes a
// round trip to the steward, so the answer arrives asynchronously
// (src/core/claims/claims.hpp).
#pragma once

#include "core/base/request_context.hpp"

#include <cstdint>
#include <string>

namespace cyclamenhold
{

// Identifies a claim request of the request path.
using claim_token = std::uint64_t;

struct claim_request
{
    claim_token token = 0;
    workspace_id workspace = workspace_id::none;
    // The caller's idempotency key: a ticket, a UUIDv7 or any other text.
    std::string idempotency_key;
    // Digest of the request. Two requests with the same key and different
    // digests are a caller's error.
    std::uint64_t digest = 0;
    time_point deadline{};
    trace_id trace;
};

enum class claim_status : std::uint8_t
{
    granted,
    // No steward granted the claim: the request has not run under this claim
    // request and will not.
    unavailable,
    // Another request with this key is in progress.
    in_progress,
    // The request ran; the answer has its reply if that is still stored.
    finished,
    // The request may have run.
    unknown,
    // The key was used for a different request.
    mismatch
};

// A short reply, stored for repeats of the request.
struct stored_reply
{
    // HTTP status; 0 when no reply is stored.
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

// The outcome of a claimed request.
struct claim_completion
{
    claim_grant grant;
    workspace_id workspace = workspace_id::none;
    std::string idempotency_key;
    // `not_run` releases the key, so that the request can be tried again.
    outcome result = outcome::unknown;
    stored_reply reply;
};

constexpr std::size_t max_stored_reply_bytes = 16 * 1024;

} // namespace cyclamenhold
