// A steward's token bucket of one workspace. It refills at the rate of the
// weights leased to the steward and is lent out in amounts of tokens. At any
// time, the tokens in the bucket and those lent and not yet settled add up to
// at most burst x weight.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace cyclamenhold
{

// Tokens borrowed from another data centre, for lending to hosts of this one.
struct inbound_loan
{
    std::uint64_t loan_id = 0;
    host_id lender = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
    double tokens = 0.0;
    // Lent to hosts and not settled.
    double lent_on = 0.0;
    double used = 0.0;
    // The part of `used` already reported to the lender.
    double reported_used = 0.0;
    time_point expires_at{};
    bool closed = false;
};

// The part of a loan that comes from one inbound loan.
struct inbound_loan_part
{
    std::uint64_t loan_id = 0;
    double amount = 0.0;
};

// A loan that this steward has made.
struct loan_record
{
    host_id borrower = host_id::none;
    double amount = 0.0;
    // The part of `amount` that comes from the bucket itself.
    double own = 0.0;
    std::vector<inbound_loan_part> borrowed;
    double used = 0.0;
    time_point ends_at{};
};

// Tokens that a host requested and did not get.
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
    // Newest unmet demand of each host of this data centre.
    std::map<host_id, unmet_demand> unmet;
    // Tokens a second lent within the data centre, smoothed.
    double local_rate = 0.0;
    // Tokens lent within the data centre since `rate_sampled_at`.
    double lent_since = 0.0;
    time_point rate_sampled_at{};
    // Time of the last report on inbound loans to their lenders.
    time_point reported_at{};
};

// A bucket's limits under the weight leases held by the steward.
struct lending_limits
{
    // Tokens a second.
    double rate = 0.0;
    // Tokens, now and when a loan made now would end by the lender's clock.
    double capacity = 0.0;
    double capacity_at_end = 0.0;
};

// Adds the tokens earned since the last call, at the rate of weights that were
// held throughout. Must be called before a weight is added.
void refill_lender(
    lender_bucket& bucket, const lending_limits& limits, time_point now);

struct loan_offer
{
    double amount = 0.0;
    // By the borrower's clock, counted from its request.
    duration term{};
};

// Lends whole tokens to a host of this data centre, from inbound loans first.
// Records what could not be lent as unmet demand.
[[nodiscard]] loan_offer lend_to_host(
    lender_bucket& bucket, const lending_limits& limits, host_id borrower,
    std::uint64_t loan_id, double wanted, duration term, time_point now);

// Lends the bucket's own tokens to the steward of another data centre, less a
// reserve for this data centre. Lends nothing while there is unmet demand here.
[[nodiscard]] loan_offer lend_to_data_centre(
    lender_bucket& bucket, const lending_limits& limits, host_id borrower,
    std::uint64_t loan_id, double wanted, duration term, time_point now);

// Applies a settlement: `used` is the total used so far. Idempotent.
// Settlements of unknown loans, or from a host other than the borrower, are
// ignored.
void settle_loan(
    lender_bucket& bucket, host_id from, std::uint64_t loan_id, double used,
    bool closed);

// Drops loans and inbound loans that have ended; unsettled tokens of a loan
// count as used. Closes inbound loans that are used up or end before
// `close_before`, once none of their tokens are lent.
void expire_loans(
    lender_bucket& bucket, time_point close_before, time_point now);

// Tokens that can be lent to a host now.
[[nodiscard]] double lendable(
    const lender_bucket& bucket, const lending_limits& limits, time_point now);

// Tokens of recent requests that were not met. Drops expired entries.
[[nodiscard]] double sum_unmet_demand(lender_bucket& bucket, time_point now);

} // namespace cyclamenhold
