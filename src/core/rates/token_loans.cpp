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

} // namespace cyclamenhold
