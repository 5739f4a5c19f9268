// Loans of tokens in the rate limiter, with sharing by weight leases.
#include "core/rates/rate_limiter.hpp"

#include <algorithm>

namespace cyclamenhold
{

void add_token_loan(
    rate_limiter& limiter, workspace_id workspace, token_loan loan)
{
    const std::scoped_lock lock(limiter.mutex);
    if (const auto found = limiter.buckets.find(workspace);
        found != limiter.buckets.end())
    {
        found->second.token_loans.push_back(loan);
    }
}

std::vector<token_loan_report> report_token_loans(
    rate_limiter& limiter, workspace_id workspace, time_point close_before,
    time_point now)
{
    const std::scoped_lock lock(limiter.mutex);
    std::vector<token_loan_report> reports;
    const auto found = limiter.buckets.find(workspace);
    if (found == limiter.buckets.end())
    {
        return reports;
    }
    auto& token_loans = found->second.token_loans;
    std::erase_if(
        token_loans,
        [now](const token_loan& loan)
        {
            return loan.expires_at <= now;
        });
    for (auto& loan : token_loans)
    {
        if (loan.tokens < 1.0 - token_epsilon || loan.expires_at < close_before)
        {
            loan.closed = true;
        }
        if (loan.closed || loan.used > loan.reported_used)
        {
            reports.push_back(
                {loan.loan_id, loan.lender, loan.used, loan.closed});
            loan.reported_used = loan.used;
        }
    }
    return reports;
}

void drop_token_loan(
    rate_limiter& limiter, workspace_id workspace, std::uint64_t loan_id)
{
    const std::scoped_lock lock(limiter.mutex);
    if (const auto found = limiter.buckets.find(workspace);
        found != limiter.buckets.end())
    {
        std::erase_if(
            found->second.token_loans,
            [loan_id](const token_loan& loan)
            {
                return loan.loan_id == loan_id && loan.closed;
            });
    }
}

void set_lenders(
    rate_limiter& limiter, workspace_id workspace, bool has_lenders)
{
    const std::scoped_lock lock(limiter.mutex);
    if (const auto found = limiter.buckets.find(workspace);
        found != limiter.buckets.end())
    {
        found->second.has_lenders = has_lenders;
    }
}

void set_pool_refill(
    rate_limiter& limiter, workspace_id workspace, time_point refills_at)
{
    const std::scoped_lock lock(limiter.mutex);
    if (const auto found = limiter.buckets.find(workspace);
        found != limiter.buckets.end())
    {
        found->second.pool_refills_at = refills_at;
    }
}

std::vector<outside_admissions>
take_admissions_outside_pool(rate_limiter& limiter)
{
    const std::scoped_lock lock(limiter.mutex);
    std::vector<outside_admissions> admissions;
    for (auto& [workspace, bucket] : limiter.buckets)
    {
        if (bucket.admitted_outside_pool != 0)
        {
            admissions.push_back(
                {workspace, bucket.role,
                 std::exchange(bucket.admitted_outside_pool, 0U)});
        }
    }
    return admissions;
}

} // namespace cyclamenhold
