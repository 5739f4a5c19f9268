#include "core/rates/remote_loans.hpp"

#include "core/rates/rates_context.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

constexpr double min_requested_tokens = 0.01;
constexpr duration remote_timeout = 300ms;
constexpr duration request_interval = 10ms;
constexpr duration report_interval = 50ms;
constexpr duration first_back_off = 20ms;
constexpr duration max_back_off = 1s;

// The other data centres in the configuration.
std::vector<data_centre_id> other_data_centres(const rates_context& context)
{
    std::vector<data_centre_id> others;
    for (const auto& entry : context.inputs.current.data_centres)
    {
        const data_centre_id id = data_centre_id_of(entry.name);
        if (id != context.state.settings.data_centre)
        {
            others.push_back(id);
        }
    }
    return others;
}

// The rendezvous winner of a shard among the alive hosts of another data
// centre.
host_id remote_steward(
    const rates_context& context, data_centre_id data_centre,
    std::uint32_t shard)
{
    std::vector<host_id> hosts;
    for (const auto& [host, entry] : context.inputs.members.members)
    {
        if (entry.data_centre == data_centre &&
            entry.state == member_state::alive)
        {
            hosts.push_back(host);
        }
    }
    return rendezvous_winner(shard, hosts);
}

void back_off_lender(remote_lender& lender, time_point now)
{
    lender.back_off = std::clamp(
        lender.back_off * 2, duration(first_back_off), duration(max_back_off));
    lender.next_request_at = now + lender.back_off;
}

bool is_request_due(remote_lender& lender, time_point now)
{
    if (lender.request != 0 && now - lender.requested_at >= remote_timeout)
    {
        lender.request = 0;
        back_off_lender(lender, now);
    }
    return lender.request == 0 && now >= lender.next_request_at;
}

// Adds settlements of inbound loans for their lenders.
void report_inbound_loans(
    rates_context& context, loan_requests& requests, workspace_id id,
    lender_bucket& bucket)
{
    if (context.now - bucket.reported_at < report_interval)
    {
        return;
    }
    bucket.reported_at = context.now;
    for (auto& loan : bucket.inbound_loans)
    {
        if (!loan.closed && loan.used <= loan.reported_used)
        {
            continue;
        }
        loan.reported_used = loan.used;
        add_settlement(
            request_to(context, requests, loan.lender, true), id, loan.loan_id,
            loan.used, loan.closed);
    }
}

void request_remote_loans(
    rates_context& context, loan_requests& requests, std::uint32_t shard,
    workspace_id id, double wanted)
{
    std::vector<data_centre_id> ready;
    for (const data_centre_id other : other_data_centres(context))
    {
        if (is_request_due(
                context.state.loans.remote[{id, other}], context.now))
        {
            ready.push_back(other);
        }
    }
    for (const data_centre_id other : ready)
    {
        const host_id steward = remote_steward(context, other, shard);
        if (steward == host_id::none)
        {
            continue;
        }
        remote_lender& lender = context.state.loans.remote[{id, other}];
        auto& request = request_to(context, requests, steward, true);
        add_item(request, id, wanted / static_cast<double>(ready.size()));
        lender.request = request.request;
        lender.requested_at = context.now;
    }
}

} // namespace

void tick_remote_loans(rates_context& context, loan_requests& requests)
{
    rates_state& state = context.state;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        stewardship& held = state.weight_leases.held[shard];
        if (held.weight_leases.empty())
        {
            continue;
        }
        for (auto& [id, bucket] : held.buckets)
        {
            const auto limits = limits_of(context, shard, id);
            refill_lender(bucket, limits, context.now);
            report_inbound_loans(context, requests, id, bucket);
            const double wanted = sum_unmet_demand(bucket, context.now) -
                                  lendable(bucket, limits, context.now);
            if (wanted >= min_requested_tokens && !state.leaving)
            {
                state.loans.busy = true;
                request_remote_loans(context, requests, shard, id, wanted);
            }
        }
    }
}

void on_remote_loan_reply(
    rates_context& context, host_id from, const sent_request& sent,
    const wire_rates::loan_reply_data& in)
{
    rates_state& state = context.state;
    for (const auto& [workspace, loan_id] : sent.closed)
    {
        auto& buckets = state.weight_leases.held[shard_of(workspace)].buckets;
        if (const auto found = buckets.find(workspace); found != buckets.end())
        {
            std::erase_if(
                found->second.inbound_loans,
                [loan_id = loan_id](const inbound_loan& loan)
                {
                    return loan.loan_id == loan_id && loan.closed;
                });
        }
    }
    for (auto& [key, lender] : state.loans.remote)
    {
        if (lender.request != in.request)
        {
            continue;
        }
        lender.request = 0;
        const auto grant = std::ranges::find(
            in.grants, static_cast<std::uint64_t>(key.workspace),
            [](const auto& entry)
            {
                return entry->workspace;
            });
        if (grant == in.grants.end() || (*grant)->amount <= 0.0)
        {
            back_off_lender(lender, context.now);
            continue;
        }
        lender.back_off = {};
        lender.next_request_at = context.now + request_interval;
        inbound_loan loan;
        loan.loan_id = (*grant)->loan;
        loan.lender = from;
        loan.data_centre = key.data_centre;
        loan.tokens = (*grant)->amount;
        loan.expires_at =
            sent.requested_at + from_microseconds((*grant)->term_us);
        auto& held = state.weight_leases.held[shard_of(key.workspace)];
        auto [entry, added] = held.buckets.try_emplace(key.workspace);
        if (added)
        {
            entry->second.refilled_at = context.now;
        }
        entry->second.inbound_loans.push_back(loan);
    }
}

} // namespace cyclamenhold
