// A steward's bucket of one workspace: filled by the weights pledged to it,
// lent out in amounts of tokens. At any time the tokens in the bucket and
// those lent and not yet settled are at most burst x weight.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace cyclamenhold
{

// Tokens borrowed from another data centre, to be lent on.
struct inbound_loan
{
    std::uint64_t loan_id = 0;
    host_id lender = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
    double tokens = 0.0;
    // Lent on and not settled.
    double lent_on = 0.0;
    double used = 0.0;
    double reported_used = 0.0;
    time_point expires_at{};
    bool closed = false;
};

struct inbound_loan_part
{
    std::uint64_t loan_id = 0;
    double amount = 0.0;
};

struct loan_record
{
    host_id borrower = host_id::none;
    double amount = 0.0;
    // Of `amount`, what came from the bucket itself.
    double own = 0.0;
    std::vector<inbound_loan_part> borrowed;
    double used = 0.0;
    time_point ends_at{};
};

struct unmet_demand
{
    double amount = 0.0;
    time_point at{};
};

struct lender_bucket
{
    double tokens = 0.0;
    time_point refilled_at{};
    // Own tokens lent and not settled.
    double lent = 0.0;
    std::map<std::uint64_t, loan_record> loans;
    std::vector<inbound_loan> inbound_loans;
    // What hosts of this data centre asked for in vain, newest of each.
    std::map<host_id, unmet_demand> unmet;
    // Tokens a second lent within the data centre, smoothed.
    double local_rate = 0.0;
    double lent_since = 0.0;
    time_point rate_sampled_at{};
    // When lenders were last told of the inbound_loans.
    time_point reported_at{};
};

// What the weights held are worth to a bucket: now, and at the time until
// which a loan would be counted.
struct lending_limits
{
    double rate = 0.0;
    double capacity = 0.0;
    double capacity_at_end = 0.0;
};

// Adds what was earned since the last call, under weights that were held all
// the time since. Must be called before a weight is added.
void refill_lender(
    lender_bucket& bucket, const lending_limits& limits, time_point now);

struct loan_offer
{
    double amount = 0.0;
    // For the receiver, from its asking on.
    duration term{};
};

// Lends whole tokens to a host of this data centre; borrowed ones first.
[[nodiscard]] loan_offer lend_to_host(
    lender_bucket& bucket, const lending_limits& limits, host_id borrower,
    std::uint64_t loan_id, double wanted, duration term, time_point now);

// Lends own tokens to the steward of another data centre, as far as this one
// does not need them itself.
[[nodiscard]] loan_offer lend_to_data_centre(
    lender_bucket& bucket, const lending_limits& limits, host_id borrower,
    std::uint64_t loan_id, double wanted, duration term, time_point now);

// Takes in what became of a loan; safe to repeat.
void settle_loan(
    lender_bucket& bucket, host_id from, std::uint64_t loan_id, double used,
    bool closed);

// Ends loans and inbound_loans whose time has passed, and closes inbound_loans
// that end before `close_before` and are not lent on.
void expire_loans(
    lender_bucket& bucket, time_point close_before, time_point now);

// Tokens that could be lent to a host now.
[[nodiscard]] double lendable(
    const lender_bucket& bucket, const lending_limits& limits, time_point now);

// Tokens that hosts lately asked for in vain.
[[nodiscard]] double sum_unmet_demand(lender_bucket& bucket, time_point now);

} // namespace cyclamenhold
