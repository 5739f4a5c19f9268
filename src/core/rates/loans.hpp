// Asking for loans: a host of its steward, and a steward of the stewards of
// other data centres.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace cyclamenhold
{

struct rates_context;

// What a host knows of its own demand for one workspace.
struct workspace_demand
{
    double rate = 0.0;
    time_point sampled_at{};
    double arrivals = 0.0;
    // The request under way, 0 when there is none.
    std::uint64_t request = 0;
    time_point requested_at{};
    time_point next_request_at{};
    time_point reported_at{};
};

// What a steward knows of another data centre as a lender of one workspace.
struct remote_lender
{
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

// A request to a lender that has not been answered.
struct sent_request
{
    time_point requested_at{};
    bool between_data_centres = false;
    // Loans reported closed in it.
    std::vector<closed_loan> closed;
};

struct loan_state
{
    std::map<workspace_id, workspace_demand> demand;
    std::map<remote_lender_key, remote_lender> remote;
    std::map<std::uint64_t, sent_request> sent;
    std::uint64_t last_request = 0;
    std::uint64_t last_loan = 0;
    bool busy = false;
};

// Tells the limiter what this host's own weight is worth.
void set_allowances(rates_context& context);

// Sets the limiter's own allowances, reports loans and asks for more.
void tick_loans(rates_context& context);

} // namespace cyclamenhold
