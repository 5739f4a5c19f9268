// The rate limiter of the request path: a token bucket for each workspace, and
// the requests that wait for tokens. Thread-safe. The control thread sets the
// allowances and adds loans (src/core/rates/rates.hpp).
#pragma once

#include "core/base/ids.hpp"
#include "core/base/names.hpp"
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

// Id of a request that waits for a token; assigned by the request path.
using token_waiter = std::uint64_t;

enum class token_verdict : std::uint8_t
{
    admitted,
    // A later result of settle_waiters contains the waiter.
    waiting,
    refused
};

// What a host's own allowance of a workspace is derived from.
enum class allowance_role : std::uint8_t
{
    // The host's own weight, with sharing by weight leases.
    weight,
    // Tokens come from a pool at another host.
    pooled,
    // The host holds a pool of its data centre.
    holder,
    // The host cannot reach a pool.
    cut_off
};

template <>
struct enum_names<allowance_role>
{
    static constexpr std::array<std::pair<allowance_role, std::string_view>, 4>
        table{
            {{allowance_role::weight, "weight"},
             {allowance_role::pooled, "pooled"},
             {allowance_role::holder, "holder"},
             {allowance_role::cut_off, "cut-off"}}};
};

// State of a bucket's own allowance, for logs.
struct bucket_level
{
    double tokens = 0.0;
    double rate = 0.0;
    double capacity = 0.0;
    // The tokens come from a pool at another host.
    bool is_pooled = false;
};

struct token_answer
{
    token_verdict verdict = token_verdict::refused;
    // For a refusal: time until a token is expected.
    duration retry_after{};
    // For a refusal: the bucket that refused.
    bucket_level level{};
};

// Tokens lent to this node by a steward. Unused tokens expire with the loan.
struct token_loan
{
    std::uint64_t loan_id = 0;
    host_id lender = host_id::none;
    double tokens = 0.0;
    double used = 0.0;
    // Counted from this node's request.
    time_point expires_at{};
    // The part of `used` already reported to the lender.
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
    // The allowance of the node's own weight: tokens, tokens a second, and
    // capacity in tokens. `valid_until` is checked at each use, so that a node
    // whose process was paused cannot use a weight that has expired meanwhile.
    double tokens = 0.0;
    double rate = 0.0;
    double capacity = 0.0;
    time_point refilled_at{};
    time_point valid_until = time_point::min();
    allowance_role role = allowance_role::weight;
    // If `role` is `pooled`: the pool expects no tokens before.
    time_point pool_refills_at{};
    // If `role` is `holder`: holders in other data centres may lend tokens.
    bool has_lenders = false;
    std::vector<token_loan> token_loans;
    std::deque<waiting_request> waiters;
    // Requests for a token since the last sample_demand.
    double arrivals = 0.0;
    // Requests admitted by tokens of the own allowance while the host did not
    // hold the pool, since the last take_admissions_outside_pool.
    std::uint32_t admitted_outside_pool = 0;
};

// Rounding error of token counts: this much less than one token counts as one.
constexpr double token_epsilon = 1e-9;

// Default limit of the wait for a token; it leaves a request time to run.
constexpr duration max_token_wait = 500ms;

struct rate_limiter
{
    std::mutex mutex;
    // Limit of the wait for a token.
    duration longest_wait = max_token_wait;
    // Tokens may be borrowed from other hosts. Without loans the time of the
    // next token follows from the rate, and a request that would time out while
    // waiting is refused at once.
    bool has_loans = true;
    std::unordered_map<workspace_id, token_bucket> buckets;
    // Waiters of deleted workspaces; expired by the next settle_waiters.
    std::vector<token_waiter> orphaned_waiters;
    // Called without the mutex held when a request starts to wait, so that the
    // adapter can request a tick of the control thread. Must be set before the
    // first request.
    std::function<void()> on_waiting;
};

// Limit of the waiting requests of one workspace.
constexpr std::size_t max_waiters = 512;

// Takes one token of the workspace, or waits for one until `wait_until` but no
// longer than the limiter's `longest_wait`.
[[nodiscard]] token_answer take_token(
    rate_limiter& limiter, workspace_id workspace, token_waiter waiter,
    time_point wait_until, time_point now);

// A refusal with the state of the workspace's bucket and the time until its
// next token. Takes no token.
[[nodiscard]] token_answer
bucket_refusal(rate_limiter& limiter, workspace_id workspace, time_point now);

// Returns the token of a request that has not run, unless it was taken longer
// than `returnable_for` ago: the rate has been used by others meanwhile.
constexpr duration returnable_for = 1s;
void return_token(
    rate_limiter& limiter, workspace_id workspace, time_point taken_at,
    time_point now);

// Removes a waiting request, for example after a disconnect of its caller.
void cancel_wait(
    rate_limiter& limiter, workspace_id workspace, token_waiter waiter);

struct token_results
{
    std::vector<token_waiter> admitted;
    std::vector<token_waiter> expired;
    // Requests that still wait.
    std::size_t waiting = 0;
};

// Admits waiting requests in order while there are tokens, and expires those
// whose wait has ended. The control thread calls it after adding tokens and at
// each tick.
[[nodiscard]] token_results
settle_waiters(rate_limiter& limiter, time_point now);

// The functions below are called by the control thread only.

// Creates missing buckets of these workspaces and drops the buckets of all
// others.
void limit_workspaces(
    rate_limiter& limiter, const std::vector<workspace_id>& workspaces,
    time_point now);

// The allowance of the node's own weight; zero for a weight that is leased out.
struct own_allowance
{
    // Tokens a second.
    double rate = 0.0;
    double capacity = 0.0;
    time_point valid_until = time_point::min();
    allowance_role role = allowance_role::weight;
};

void set_own_allowance(
    rate_limiter& limiter, workspace_id workspace,
    const own_allowance& allowance, time_point now);

void add_token_loan(
    rate_limiter& limiter, workspace_id workspace, token_loan loan);

// Takes up to `wanted` whole tokens for another host of this data centre, from
// those that other data centres have lent and from the node's own allowance.
// Waiting requests of this host come first.
[[nodiscard]] double lend_tokens(
    rate_limiter& limiter, workspace_id workspace, double wanted,
    time_point now);

// Takes up to `wanted` whole tokens of the node's own allowance for another
// data centre, and leaves `kept` tokens.
[[nodiscard]] double lend_spare_tokens(
    rate_limiter& limiter, workspace_id workspace, double wanted, double kept,
    time_point now);

// Whether holders in other data centres may lend tokens, so that requests wait
// for more than the own rate brings.
void set_lenders(
    rate_limiter& limiter, workspace_id workspace, bool has_lenders);

// Adds tokens of a pool, which can be used until `expires_at`.
void add_pool_tokens(
    rate_limiter& limiter, workspace_id workspace, double tokens,
    time_point expires_at, time_point now);

// Records that a pool expects no token before `refills_at`. Requests that would
// wait longer than they may are refused at once.
void set_pool_refill(
    rate_limiter& limiter, workspace_id workspace, time_point refills_at);

// Requests admitted by a host's own allowance while it held no pool.
struct outside_admissions
{
    workspace_id workspace = workspace_id::none;
    allowance_role role = allowance_role::weight;
    std::uint32_t count = 0;
};

// The admissions since the last call, of the workspaces that have any, with the
// present roles.
[[nodiscard]] std::vector<outside_admissions>
take_admissions_outside_pool(rate_limiter& limiter);

// Input for requesting loans ahead of demand.
struct token_demand
{
    // Waiting requests.
    double waiting = 0.0;
    // Tokens of the own allowance and of open loans.
    double available = 0.0;
    // Requests for a token since the last sample.
    double arrivals = 0.0;
};

[[nodiscard]] token_demand
sample_demand(rate_limiter& limiter, workspace_id workspace, time_point now);

// Use of a loan, for a settlement to its lender.
struct token_loan_report
{
    std::uint64_t loan_id = 0;
    host_id lender = host_id::none;
    double used = 0.0;
    bool closed = false;
};

// Closes loans that are used up or that end before `close_before`, drops those
// that have ended, and returns the loans with unreported use and all closed
// loans.
[[nodiscard]] std::vector<token_loan_report> report_token_loans(
    rate_limiter& limiter, workspace_id workspace, time_point close_before,
    time_point now);

// Drops a closed loan after its lender has acknowledged the report.
void drop_token_loan(
    rate_limiter& limiter, workspace_id workspace, std::uint64_t loan_id);

} // namespace cyclamenhold
