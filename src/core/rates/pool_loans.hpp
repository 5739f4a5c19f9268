// Loans between the holders of a shard's pools in different data centres: a
// holder that cannot give its hosts what they request takes tokens that another
// holder does not need at present. A share follows demand within seconds; loans
// serve callers who have moved to another data centre, and the random variation
// of a small demand, in a round trip. Lent tokens leave the lender's bucket, so
// that the sum over all holders stays the same.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"

namespace cyclamenhold
{

struct rates_context;

// A host requests tokens again after this time when its holder requests them
// from another data centre.
constexpr duration pool_loan_delay = 20ms;
// A holder gives lent tokens to hosts for this time from its request.
constexpr duration pool_loan_term = 250ms;

[[nodiscard]] bool
is_in_other_data_centre(const rates_context& context, host_id host);

// Records tokens that a host has requested and not received. Returns whether a
// holder in another data centre may lend them.
bool note_unmet(rates_context& context, workspace_id id, double missing);

// As note_unmet, for callers at this host.
void note_own_waiters(rates_context& context, workspace_id id, double missing);

// Requests the unmet tokens of all pools of this host from other holders.
void request_pool_loans(rates_context& context);

} // namespace cyclamenhold
