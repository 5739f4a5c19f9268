#include "core/rates/lending.hpp"

#include "core/rates/lease_terms.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenhold
{
namespace
{

// Rounding error of token counts.
constexpr double token_epsilon = 1e-9;
constexpr double min_loan_tokens = 0.01;
// An inbound loan that ends sooner than this is not lent to hosts.
constexpr duration min_lendable_term = 100ms;
// A loan to another data centre leaves in the bucket what this data centre uses
// in this time.
constexpr duration reserve_time = 100ms;
constexpr duration rate_window = 200ms;
constexpr duration unmet_demand_lifetime = 200ms;

double own_lendable(const lender_bucket& bucket, const lending_limits& limits)
{
    const double capacity_left = limits.capacity_at_end - bucket.lent;
    return std::max(0.0, std::min(bucket.tokens, capacity_left));
}

bool is_usable(const inbound_loan& loan, time_point now)
{
    return !loan.closed && loan.tokens > 0.0 &&
           loan.expires_at - now >= min_lendable_term;
}

void sample_local_rate(lender_bucket& bucket, time_point now)
{
    const duration elapsed = now - bucket.rate_sampled_at;
    if (elapsed < rate_window)
    {
        return;
    }
    const double rate = bucket.lent_since / to_seconds(elapsed);
    bucket.local_rate = 0.5 * bucket.local_rate + 0.5 * rate;
    bucket.lent_since = 0.0;
    bucket.rate_sampled_at = now;
}

inbound_loan* find_inbound_loan(lender_bucket& bucket, std::uint64_t loan_id)
{
    const auto found = std::ranges::find(
        bucket.inbound_loans, loan_id, &inbound_loan::loan_id);
    return found == bucket.inbound_loans.end() ? nullptr : &*found;
}

// Settles `settled` of a loan's outstanding tokens, borrowed parts first.
// Unused tokens return to the inbound loan or the bucket that they came from.
void settle_tokens(
    lender_bucket& bucket, loan_record& record, double settled, bool is_used)
{
    for (auto& [loan_id, amount] : record.borrowed)
    {
        const double part = std::min(amount, settled);
        amount -= part;
        settled -= part;
        inbound_loan* const loan = find_inbound_loan(bucket, loan_id);
        if (loan == nullptr)
        {
            continue;
        }
        loan->lent_on = std::max(0.0, loan->lent_on - part);
        (is_used ? loan->used : loan->tokens) += part;
    }
    const double part = std::min(record.own, settled);
    record.own -= part;
    bucket.lent = std::max(0.0, bucket.lent - part);
    if (!is_used)
    {
        bucket.tokens += part;
    }
}

double unsettled_tokens(const loan_record& record)
{
    double amount = record.own;
    for (const auto& part : record.borrowed)
    {
        amount += part.amount;
    }
    return amount;
}

} // namespace

void refill_lender(
    lender_bucket& bucket, const lending_limits& limits, time_point now)
{
    if (now > bucket.refilled_at)
    {
        bucket.tokens += tokens_earned(limits.rate, now - bucket.refilled_at);
        bucket.refilled_at = now;
    }
    bucket.tokens =
        std::max(0.0, std::min(bucket.tokens, limits.capacity - bucket.lent));
    sample_local_rate(bucket, now);
}

loan_offer lend_to_host(
    lender_bucket& bucket, const lending_limits& limits, host_id borrower,
    std::uint64_t loan_id, double wanted, duration term, time_point now)
{
    refill_lender(bucket, limits, now);
    const double amount = std::floor(
        std::min(std::ceil(wanted), lendable(bucket, limits, now)) +
        token_epsilon);
    if (amount < wanted)
    {
        bucket.unmet[borrower] = {wanted - amount, now};
    }
    else
    {
        bucket.unmet.erase(borrower);
    }
    if (amount < 1.0)
    {
        return {};
    }
    loan_record record{borrower, amount, 0.0,
                       {},       0.0,    now + grantor_term(term)};
    duration offered = term;
    double remaining = amount;
    for (auto& loan : bucket.inbound_loans)
    {
        if (remaining <= 0.0 || !is_usable(loan, now))
        {
            continue;
        }
        const double part = std::min(remaining, loan.tokens);
        loan.tokens -= part;
        loan.lent_on += part;
        remaining -= part;
        record.borrowed.push_back({loan.loan_id, part});
        offered = std::min(offered, holder_term(loan.expires_at - now));
    }
    record.own = std::max(0.0, remaining);
    bucket.tokens = std::max(0.0, bucket.tokens - record.own);
    bucket.lent += record.own;
    bucket.lent_since += amount;
    bucket.loans.emplace(loan_id, std::move(record));
    return {amount, offered};
}

loan_offer lend_to_data_centre(
    lender_bucket& bucket, const lending_limits& limits, host_id borrower,
    std::uint64_t loan_id, double wanted, duration term, time_point now)
{
    refill_lender(bucket, limits, now);
    const double reserve = bucket.local_rate * to_seconds(reserve_time);
    const double amount =
        std::min(wanted, own_lendable(bucket, limits) - reserve);
    if (amount < min_loan_tokens || sum_unmet_demand(bucket, now) > 0.0)
    {
        return {};
    }
    bucket.tokens -= amount;
    bucket.lent += amount;
    bucket.loans.emplace(
        loan_id,
        loan_record{
            borrower, amount, amount, {}, 0.0, now + grantor_term(term)});
    return {amount, term};
}

void settle_loan(
    lender_bucket& bucket, host_id from, std::uint64_t loan_id, double used,
    bool closed)
{
    const auto found = bucket.loans.find(loan_id);
    if (found == bucket.loans.end() || found->second.borrower != from)
    {
        return;
    }
    loan_record& record = found->second;
    used = std::clamp(used, record.used, record.amount);
    settle_tokens(bucket, record, used - record.used, true);
    record.used = used;
    if (closed)
    {
        settle_tokens(bucket, record, unsettled_tokens(record), false);
        bucket.loans.erase(found);
    }
}

void expire_loans(
    lender_bucket& bucket, time_point close_before, time_point now)
{
    for (auto entry = bucket.loans.begin(); entry != bucket.loans.end();)
    {
        if (entry->second.ends_at > now)
        {
            ++entry;
            continue;
        }
        settle_tokens(
            bucket, entry->second, unsettled_tokens(entry->second), true);
        entry = bucket.loans.erase(entry);
    }
    std::erase_if(
        bucket.inbound_loans,
        [now](const inbound_loan& loan)
        {
            return loan.expires_at <= now;
        });
    for (auto& loan : bucket.inbound_loans)
    {
        const bool is_done =
            loan.tokens <= token_epsilon || loan.expires_at < close_before;
        loan.closed = loan.closed || (is_done && loan.lent_on <= token_epsilon);
    }
}

double lendable(
    const lender_bucket& bucket, const lending_limits& limits, time_point now)
{
    double amount = own_lendable(bucket, limits);
    for (const auto& loan : bucket.inbound_loans)
    {
        amount += is_usable(loan, now) ? loan.tokens : 0.0;
    }
    return amount;
}

double sum_unmet_demand(lender_bucket& bucket, time_point now)
{
    double amount = 0.0;
    for (auto entry = bucket.unmet.begin(); entry != bucket.unmet.end();)
    {
        if (entry->second.at + unmet_demand_lifetime <= now)
        {
            entry = bucket.unmet.erase(entry);
            continue;
        }
        amount += entry->second.amount;
        ++entry;
    }
    return amount;
}

} // namespace cyclamenhold
