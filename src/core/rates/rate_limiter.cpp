#include "core/rates/rate_limiter.hpp"

#include "core/rates/lease_terms.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenhold
{
namespace
{

void refill(token_bucket& bucket, time_point now)
{
    if (now >= bucket.valid_until)
    {
        bucket.tokens = 0.0;
        bucket.refilled_at = std::max(bucket.refilled_at, now);
        return;
    }
    if (now <= bucket.refilled_at)
    {
        return;
    }
    bucket.tokens = std::min(
        bucket.capacity,
        bucket.tokens + tokens_earned(bucket.rate, now - bucket.refilled_at));
    bucket.refilled_at = now;
}

bool take_one(token_bucket& bucket, time_point now)
{
    for (auto& loan : bucket.token_loans)
    {
        if (!loan.closed && now < loan.expires_at &&
            loan.tokens >= 1.0 - token_epsilon)
        {
            loan.tokens = std::max(0.0, loan.tokens - 1.0);
            loan.used += 1.0;
            return true;
        }
    }
    refill(bucket, now);
    if (bucket.tokens < 1.0 - token_epsilon)
    {
        return false;
    }
    bucket.tokens = std::max(0.0, bucket.tokens - 1.0);
    bucket.admitted_outside_pool +=
        bucket.role == allowance_role::pooled ||
                bucket.role == allowance_role::cut_off
            ? 1
            : 0;
    return true;
}

// Time until a new request gets a token, after those that already wait; 1 s for
// a bucket without a rate.
duration expected_wait(const token_bucket& bucket)
{
    if (bucket.rate <= 0.0)
    {
        return 1s;
    }
    const double missing =
        static_cast<double>(bucket.waiters.size()) + 1.0 - bucket.tokens;
    return std::clamp(
        from_seconds(missing / bucket.rate), duration(10ms), duration(10s));
}

// Loans can bring tokens sooner than the bucket's own rate, so the wait is
// estimated only for a limiter without loans, and by the pool's own estimate
// for tokens of a pool.
bool is_wait_too_long(
    const rate_limiter& limiter, const token_bucket& bucket,
    time_point wait_until, time_point now)
{
    if (bucket.role == allowance_role::pooled)
    {
        return bucket.pool_refills_at > wait_until;
    }
    const bool has_lenders =
        limiter.has_loans ||
        (bucket.role == allowance_role::holder && bucket.has_lenders);
    return !has_lenders && expected_wait(bucket) > wait_until - now;
}

token_answer refusal_of(const token_bucket& bucket, time_point now)
{
    constexpr duration min_pool_wait = 10ms;
    return {
        token_verdict::refused,
        bucket.role == allowance_role::pooled
            ? std::max(min_pool_wait, bucket.pool_refills_at - now)
            : expected_wait(bucket),
        {bucket.tokens, bucket.rate, bucket.capacity,
         bucket.role == allowance_role::pooled}};
}

void push_pool_tokens(
    token_bucket& bucket, double tokens, time_point expires_at, time_point now)
{
    std::erase_if(
        bucket.token_loans,
        [now](const token_loan& loan)
        {
            return loan.expires_at <= now || loan.tokens < 1.0 - token_epsilon;
        });
    token_loan loan;
    loan.tokens = tokens;
    loan.expires_at = expires_at;
    bucket.token_loans.push_back(loan);
}

// Takes up to `wanted` whole tokens that other data centres have lent.
double take_borrowed(token_bucket& bucket, double wanted, time_point now)
{
    double taken = 0.0;
    for (auto& loan : bucket.token_loans)
    {
        if (loan.lender == host_id::none && !loan.closed &&
            now < loan.expires_at)
        {
            const double part = std::floor(
                std::min(wanted - taken, loan.tokens) + token_epsilon);
            loan.tokens = std::max(0.0, loan.tokens - part);
            taken += part;
        }
    }
    return taken;
}

double take_whole(token_bucket& bucket, double wanted, double kept)
{
    const double free =
        bucket.tokens - static_cast<double>(bucket.waiters.size()) - kept;
    const double lent =
        std::max(0.0, std::floor(std::min(wanted, free) + token_epsilon));
    bucket.tokens = std::max(0.0, bucket.tokens - lent);
    return lent;
}

} // namespace

token_answer
bucket_refusal(rate_limiter& limiter, workspace_id workspace, time_point now)
{
    const std::scoped_lock lock(limiter.mutex);
    const auto found = limiter.buckets.find(workspace);
    return found == limiter.buckets.end()
               ? token_answer{token_verdict::refused, 1s, {}}
               : refusal_of(found->second, now);
}

token_answer take_token(
    rate_limiter& limiter, workspace_id workspace, token_waiter waiter,
    time_point wait_until, time_point now)
{
    {
        const std::scoped_lock lock(limiter.mutex);
        const auto found = limiter.buckets.find(workspace);
        if (found == limiter.buckets.end())
        {
            return {token_verdict::refused, 1s, {}};
        }
        token_bucket& bucket = found->second;
        bucket.arrivals += 1.0;
        if (bucket.waiters.empty() && take_one(bucket, now))
        {
            return {token_verdict::admitted};
        }
        wait_until = std::min(wait_until, now + limiter.longest_wait);
        if (wait_until <= now || bucket.waiters.size() >= max_waiters ||
            is_wait_too_long(limiter, bucket, wait_until, now))
        {
            return refusal_of(bucket, now);
        }
        bucket.waiters.push_back({waiter, wait_until});
    }
    if (limiter.on_waiting)
    {
        limiter.on_waiting();
    }
    return {token_verdict::waiting};
}

void return_token(
    rate_limiter& limiter, workspace_id workspace, time_point taken_at,
    time_point now)
{
    const std::scoped_lock lock(limiter.mutex);
    const auto found = limiter.buckets.find(workspace);
    if (found == limiter.buckets.end() || now - taken_at >= returnable_for)
    {
        return;
    }
    token_bucket& bucket = found->second;
    if (bucket.role == allowance_role::pooled)
    {
        push_pool_tokens(bucket, 1.0, taken_at + returnable_for, now);
        return;
    }
    refill(bucket, now);
    bucket.tokens = std::min(bucket.capacity, bucket.tokens + 1.0);
}

void cancel_wait(
    rate_limiter& limiter, workspace_id workspace, token_waiter waiter)
{
    const std::scoped_lock lock(limiter.mutex);
    if (const auto found = limiter.buckets.find(workspace);
        found != limiter.buckets.end())
    {
        std::erase_if(
            found->second.waiters,
            [waiter](const waiting_request& request)
            {
                return request.waiter == waiter;
            });
    }
}

token_results settle_waiters(rate_limiter& limiter, time_point now)
{
    const std::scoped_lock lock(limiter.mutex);
    token_results results;
    results.expired.swap(limiter.orphaned_waiters);
    for (auto& [workspace, bucket] : limiter.buckets)
    {
        std::deque<waiting_request> remaining;
        for (const auto& request : bucket.waiters)
        {
            const bool is_late = request.wait_until <= now;
            const bool is_hopeless =
                bucket.role == allowance_role::pooled &&
                bucket.pool_refills_at > request.wait_until;
            if (!is_late && remaining.empty() && take_one(bucket, now))
            {
                results.admitted.push_back(request.waiter);
            }
            else if (is_late || is_hopeless)
            {
                results.expired.push_back(request.waiter);
            }
            else
            {
                remaining.push_back(request);
            }
        }
        bucket.waiters.swap(remaining);
        results.waiting += bucket.waiters.size();
    }
    return results;
}

void limit_workspaces(
    rate_limiter& limiter, const std::vector<workspace_id>& workspaces,
    time_point now)
{
    const std::scoped_lock lock(limiter.mutex);
    for (const workspace_id workspace : workspaces)
    {
        if (const auto [entry, added] = limiter.buckets.try_emplace(workspace);
            added)
        {
            entry->second.refilled_at = now;
        }
    }
    for (auto entry = limiter.buckets.begin(); entry != limiter.buckets.end();)
    {
        if (std::ranges::find(workspaces, entry->first) != workspaces.end())
        {
            ++entry;
            continue;
        }
        for (const auto& request : entry->second.waiters)
        {
            limiter.orphaned_waiters.push_back(request.waiter);
        }
        entry = limiter.buckets.erase(entry);
    }
}

void set_own_allowance(
    rate_limiter& limiter, workspace_id workspace,
    const own_allowance& allowance, time_point now)
{
    const std::scoped_lock lock(limiter.mutex);
    const auto found = limiter.buckets.find(workspace);
    if (found == limiter.buckets.end())
    {
        return;
    }
    token_bucket& bucket = found->second;
    refill(bucket, now);
    // Tokens earned in one role were not counted by those who divide the rate
    // in the next.
    if (bucket.role != allowance.role)
    {
        bucket.tokens = 0.0;
    }
    bucket.rate = allowance.rate;
    bucket.capacity = allowance.capacity;
    bucket.valid_until = allowance.valid_until;
    bucket.role = allowance.role;
    bucket.tokens = std::min(bucket.tokens, bucket.capacity);
}

double lend_tokens(
    rate_limiter& limiter, workspace_id workspace, double wanted,
    time_point now)
{
    const std::scoped_lock lock(limiter.mutex);
    const auto found = limiter.buckets.find(workspace);
    if (found == limiter.buckets.end())
    {
        return 0.0;
    }
    token_bucket& bucket = found->second;
    refill(bucket, now);
    const double borrowed =
        bucket.waiters.empty() ? take_borrowed(bucket, wanted, now) : 0.0;
    return borrowed + take_whole(bucket, wanted - borrowed, 0.0);
}

double lend_spare_tokens(
    rate_limiter& limiter, workspace_id workspace, double wanted, double kept,
    time_point now)
{
    const std::scoped_lock lock(limiter.mutex);
    const auto found = limiter.buckets.find(workspace);
    if (found == limiter.buckets.end())
    {
        return 0.0;
    }
    refill(found->second, now);
    return take_whole(found->second, wanted, kept);
}

void add_pool_tokens(
    rate_limiter& limiter, workspace_id workspace, double tokens,
    time_point expires_at, time_point now)
{
    const std::scoped_lock lock(limiter.mutex);
    const auto found = limiter.buckets.find(workspace);
    if (found == limiter.buckets.end())
    {
        return;
    }
    push_pool_tokens(found->second, tokens, expires_at, now);
}

token_demand
sample_demand(rate_limiter& limiter, workspace_id workspace, time_point now)
{
    const std::scoped_lock lock(limiter.mutex);
    token_demand demand;
    const auto found = limiter.buckets.find(workspace);
    if (found == limiter.buckets.end())
    {
        return demand;
    }
    token_bucket& bucket = found->second;
    refill(bucket, now);
    demand.waiting = static_cast<double>(bucket.waiters.size());
    demand.available = bucket.tokens;
    for (const auto& loan : bucket.token_loans)
    {
        if (!loan.closed && now < loan.expires_at)
        {
            demand.available += loan.tokens;
        }
    }
    demand.arrivals = bucket.arrivals;
    bucket.arrivals = 0.0;
    return demand;
}

} // namespace cyclamenhold
