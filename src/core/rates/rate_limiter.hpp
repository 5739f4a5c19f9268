// The request path's side of workspace rates: one token bucket a workspace,
// and the requests that wait for tokens. Thread-safe. The control thread sets
// what the buckets may hand out (src/core/rates/rates.hpp).
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

// Names a request that waits for a token; chosen by the request path.
using token_waiter = std::uint64_t;

enum class token_verdict : std::uint8_t
{
    admitted,
    // The waiter will be in a later result of settle_waiters.
    waiting,
    refused
};

// A bucket as it is logged.
struct bucket_level
{
    double tokens = 0.0;
    double rate = 0.0;
    double capacity = 0.0;
};

struct token_answer
{
    token_verdict verdict = token_verdict::refused;
    // For a refusal: when a token is expected.
    duration retry_after{};
    // For a refusal: the bucket that decided.
    bucket_level level{};
};

// Tokens lent to this node by a steward. Unused ones end with the loan.
struct token_loan
{
    std::uint64_t loan_id = 0;
    host_id lender = host_id::none;
    double tokens = 0.0;
    double used = 0.0;
    // Counted from when this node asked.
    time_point expires_at{};
    // What the lender was last told.
    double reported_used = 0.0;
    bool closed = false;
};

struct waiting_request
{
    token_waiter waiter = 0;
    time_point wait_until{};
};

struct token_bucket
{
    // The node's own weight: tokens, tokens a second and most tokens. Usable
    // until `valid_until`, which is checked at each use, so that a node that
    // was paused cannot use a weight it has lost meanwhile.
    double tokens = 0.0;
    double rate = 0.0;
    double capacity = 0.0;
    time_point refilled_at{};
    time_point valid_until = time_point::min();
    std::vector<token_loan> token_loans;
    std::deque<waiting_request> waiters;
    // Requests that asked for a token since the control thread last looked.
    double arrivals = 0.0;
    double admitted = 0.0;
};

// The longest that a request waits for a token, so that time is left to run.
constexpr duration max_token_wait = 500ms;

struct rate_limiter
{
    std::mutex mutex;
    // Requests wait no longer than this.
    duration longest_wait = max_token_wait;
    // Tokens may come from other hosts; otherwise the rate tells when the next
    // one is there, and who would wait in vain is refused at once.
    bool has_loans = true;
    std::unordered_map<workspace_id, token_bucket> buckets;
    // Waiters of workspaces that have been deleted.
    std::vector<token_waiter> orphaned_waiters;
    // Called without the mutex when a request began to wait; the adapter
    // lets the control thread tick soon. Set before the first request.
    std::function<void()> on_waiting;
};

constexpr std::size_t max_waiters = 512;

// Takes one token of the workspace, or waits for one until `wait_until` and
// at most for max_token_wait.
[[nodiscard]] token_answer take_token(
    rate_limiter& limiter, workspace_id workspace, token_waiter waiter,
    time_point wait_until, time_point now);

// The workspace's bucket, and when it has a token next.
[[nodiscard]] token_answer
bucket_refusal(rate_limiter& limiter, workspace_id workspace);

// A request that took a token has not run.
void return_token(
    rate_limiter& limiter, workspace_id workspace, time_point now);

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

// The functions below are the control thread's.

// Keeps a bucket for each of these workspaces and drops all others.
void limit_workspaces(
    rate_limiter& limiter, const std::vector<workspace_id>& workspaces,
    time_point now);

// What the node's own weight is worth from now on. A weight given away is a
// rate and capacity of zero.
struct own_allowance
{
    double rate = 0.0;
    double capacity = 0.0;
    time_point valid_until = time_point::min();
};

void set_own_allowance(
    rate_limiter& limiter, workspace_id workspace,
    const own_allowance& allowance, time_point now);

void add_token_loan(
    rate_limiter& limiter, workspace_id workspace, token_loan loan);

// What the control thread needs to know to ask ahead.
struct token_demand
{
    double waiting = 0.0;
    double available = 0.0;
    // Since the last call.
    double arrivals = 0.0;
};

[[nodiscard]] token_demand
sample_demand(rate_limiter& limiter, workspace_id workspace, time_point now);

// A lot whose lender has something new to learn.
struct token_loan_report
{
    std::uint64_t loan_id = 0;
    host_id lender = host_id::none;
    double used = 0.0;
    bool closed = false;
};

// Closes token_loans that are used up or that end before `close_before`, drops
// those that have ended, and returns all token_loans whose state the lender was
// not told and all closed ones.
[[nodiscard]] std::vector<token_loan_report> report_token_loans(
    rate_limiter& limiter, workspace_id workspace, time_point close_before,
    time_point now);

// The lender has taken in a report of a closed lot.
void drop_token_loan(
    rate_limiter& limiter, workspace_id workspace, std::uint64_t loan_id);

} // namespace cyclamenhold
