// The borrower's side of loans: a host borrows from its steward, and a steward
// from the stewards of other data centres.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace cyclamenhold
{

struct rates_context;

// A host's own demand for one workspace.
struct workspace_demand
{
    // Arrivals a second, smoothed.
    double rate = 0.0;
    time_point sampled_at{};
    // Since `sampled_at`.
    double arrivals = 0.0;
    // Id of the pending request; 0 when there is none.
    std::uint64_t request = 0;
    time_point requested_at{};
    time_point next_request_at{};
    time_point reported_at{};
};

// A steward's requests to another data centre for one workspace.
struct remote_lender
{
    // Id of the pending request; 0 when there is none.
    std::uint64_t request = 0;
    time_point requested_at{};
    time_point next_request_at{};
    duration back_off{};
};

struct remote_lender_key
{
    workspace_id workspace = workspace_id::none;
    data_centre_id data_centre = data_centre_id::none;
    bool operator<(const remote_lender_key& other) const
    {
        return workspace != other.workspace ? workspace < other.workspace
                                            : data_centre < other.data_centre;
    }
};

struct closed_loan
{
    workspace_id workspace = workspace_id::none;
    std::uint64_t loan_id = 0;
};

// A request to a lender that is not answered yet.
struct sent_request
{
    time_point requested_at{};
    bool between_data_centres = false;
    // Loans that the request reports as closed.
    std::vector<closed_loan> closed;
};

struct loan_state
{
    std::map<workspace_id, workspace_demand> demand;
    std::map<remote_lender_key, remote_lender> remote;
    std::map<std::uint64_t, sent_request> sent;
    std::uint64_t last_request = 0;
    std::uint64_t last_loan = 0;
    // Tokens are needed; ticks come at the short interval.
    bool busy = false;
};

// Sets the limiter's allowances to the rates and bursts of this host's own
// weight.
void set_allowances(rates_context& context);

// Sets the limiter's allowances, reports the use of loans and requests more.
void tick_loans(rates_context& context);

} // namespace cyclamenhold
