#include "core/rates/rate_limiter.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

void refill(token_bucket& bucket, time_point now)
{
    const double elapsed = to_seconds(now - bucket.refilled_at);
    bucket.refilled_at = now;
    bucket.tokens =
        std::min(bucket.capacity, bucket.tokens + elapsed * bucket.rate);
}

} // namespace

token_answer take_token(
    rate_limiter& limiter, workspace_id workspace, token_waiter /*waiter*/,
    time_point /*wait_until*/, time_point now)
{
    const std::scoped_lock lock(limiter.mutex);
    const auto found = limiter.buckets.find(workspace);
    if (found == limiter.buckets.end())
    {
        return {token_verdict::refused, 1s};
    }
    token_bucket& bucket = found->second;
    refill(bucket, now);
    if (bucket.tokens >= 1.0)
    {
        bucket.tokens -= 1.0;
        return {token_verdict::admitted, {}};
    }
    const double missing = 1.0 - bucket.tokens;
    return {
        token_verdict::refused,
        bucket.rate > 0.0 ? from_seconds(missing / bucket.rate) : duration(1s)};
}

void cancel_wait(
    rate_limiter& /*limiter*/, workspace_id /*workspace*/,
    token_waiter /*waiter*/)
{
}

token_results settle_waiters(rate_limiter& /*limiter*/, time_point /*now*/)
{
    return {};
}

} // namespace cyclamenhold
