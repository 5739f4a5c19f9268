// Loans between data centres, and helpers shared with loans to hosts.
#pragma once

#include "core/rates/loans.hpp"
#include "wire/generated/rates_generated.h"

#include <map>

namespace cyclamenhold
{

struct loan_request_key
{
    host_id to = host_id::none;
    bool between_data_centres = false;
    bool operator<(const loan_request_key& other) const
    {
        return to != other.to
                   ? to < other.to
                   : between_data_centres < other.between_data_centres;
    }
};

// At most one request to each lender in a tick.
using loan_requests =
    std::map<loan_request_key, wire::rates::loan_request_data>;

// The request to a lender; created when there is none yet.
[[nodiscard]] wire::rates::loan_request_data& request_to(
    rates_context& context, loan_requests& requests, host_id to,
    bool between_data_centres);
void add_item(
    wire::rates::loan_request_data& request, workspace_id workspace,
    double wanted);
void add_settlement(
    wire::rates::loan_request_data& request, workspace_id workspace,
    std::uint64_t loan_id, double used, bool closed);

// Adds this steward's requests and settlements for the stewards of other data
// centres.
void tick_remote_loans(rates_context& context, loan_requests& requests);

void on_remote_loan_reply(
    rates_context& context, host_id from, const sent_request& sent,
    const wire::rates::loan_reply_data& in);

} // namespace cyclamenhold
