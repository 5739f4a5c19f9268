// The request path's side of workspace rates: one token bucket a workspace,
// and the requests that wait for tokens. Thread-safe. The control thread sets
// what the buckets may hand out (src/core/rates/rates.hpp).
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

// Names a request that waits for a token; chosen by the request path.
using token_waiter = std::uint64_t;

enum class token_verdict : std::uint8_t
{
    admitted,
    // The waiter will be in a later result of take_admitted or take_expired.
    waiting,
    refused
};

struct token_answer
{
    token_verdict verdict = token_verdict::refused;
    // For a refusal: when a token is expected.
    duration retry_after{};
};

struct token_bucket
{
    double tokens = 0.0;
    // Tokens a second that this node may admit by itself.
    double rate = 0.0;
    double capacity = 0.0;
    time_point refilled_at{};
};

struct rate_limiter
{
    std::mutex mutex;
    std::unordered_map<workspace_id, token_bucket> buckets;
};

// Takes one token of the workspace, or waits for one until `wait_until`.
[[nodiscard]] token_answer take_token(
    rate_limiter& limiter, workspace_id workspace, token_waiter waiter,
    time_point wait_until, time_point now);

// A waiting request has gone.
void cancel_wait(
    rate_limiter& limiter, workspace_id workspace, token_waiter waiter);

struct token_results
{
    std::vector<token_waiter> admitted;
    std::vector<token_waiter> expired;
};

// The waiting requests whose fate is decided by now. Called by the control
// thread after it added tokens and at each tick.
[[nodiscard]] token_results
settle_waiters(rate_limiter& limiter, time_point now);

} // namespace cyclamenhold
