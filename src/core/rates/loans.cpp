#include "core/rates/loans.hpp"

#include "core/rates/rates_context.hpp"
#include "core/rates/remote_loans.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

constexpr duration demand_window = 100ms;
// A host requests loans for the arrivals that it expects within this time.
constexpr duration demand_horizon = 100ms;
constexpr duration request_timeout = 150ms;
constexpr duration report_interval = 20ms;
constexpr duration min_retry_delay = 5ms;
constexpr duration max_retry_delay = 200ms;
constexpr duration sent_request_lifetime = 3s;

void sample_rate(workspace_demand& demand, double arrivals, time_point now)
{
    demand.arrivals += arrivals;
    const duration elapsed = now - demand.sampled_at;
    if (elapsed < demand_window)
    {
        return;
    }
    const double rate = demand.arrivals / to_seconds(elapsed);
    demand.rate = rate > demand.rate ? rate : 0.7 * demand.rate + 0.3 * rate;
    demand.arrivals = 0.0;
    demand.sampled_at = now;
}

void set_allowance(
    rates_context& context, std::uint32_t shard, workspace_id id,
    const workspace& settings)
{
    const rates_state& state = context.state;
    own_allowance allowance;
    if (has_unleased_weight(context, shard) && !state.leaving)
    {
        const double weight =
            state.share /
            static_cast<double>(weight_parts(state.hosts, context.now));
        allowance = {
            settings.rate * weight, settings.burst * weight,
            contact_expires_at(context)};
    }
    set_own_allowance(context.inputs.limiter, id, allowance, context.now);
}

host_id steward_for(const rates_context& context, std::uint32_t shard)
{
    const auto& weight_leases = context.state.weight_leases;
    const granted_weight_lease& granted = weight_leases.granted[shard];
    return granted.ends_at > context.now ? granted.holder
                                         : weight_leases.winners[shard];
}

bool is_request_due(const workspace_demand& demand, time_point now)
{
    const bool is_pending =
        demand.request != 0 && now - demand.requested_at < request_timeout;
    return !is_pending && now >= demand.next_request_at;
}

// Samples the demand of one workspace and adds its settlements, and a request
// for a loan when tokens are short, to `requests`.
void add_workspace_requests(
    rates_context& context, loan_requests& requests, workspace_id id)
{
    rates_state& state = context.state;
    const std::uint32_t shard = shard_of(id);
    workspace_demand& demand = state.loans.demand[id];
    const auto sample = sample_demand(context.inputs.limiter, id, context.now);
    sample_rate(demand, sample.arrivals, context.now);
    state.loans.busy = state.loans.busy || sample.waiting > 0.0;
    const double expected =
        std::floor(demand.rate * to_seconds(demand_horizon));
    const double wanted =
        std::ceil(sample.waiting + expected - sample.available);
    const host_id steward = steward_for(context, shard);
    const bool is_requesting = wanted >= 1.0 && steward != host_id::none &&
                               !state.leaving &&
                               is_request_due(demand, context.now);
    if (!is_requesting && context.now - demand.reported_at < report_interval &&
        !state.leaving)
    {
        return;
    }
    demand.reported_at = context.now;
    const time_point close_before =
        state.leaving ? time_point::max()
                      : context.now + state.settings.loan_term / 4;
    for (const auto& [loan_id, lender, used, closed] : report_token_loans(
             context.inputs.limiter, id, close_before, context.now))
    {
        add_settlement(
            request_to(context, requests, lender, false), id, loan_id, used,
            closed);
    }
    if (is_requesting)
    {
        auto& request = request_to(context, requests, steward, false);
        add_item(request, id, wanted);
        demand.request = request.request;
        demand.requested_at = context.now;
    }
}

duration retry_delay(double missing, double rate)
{
    if (rate <= 0.0)
    {
        return max_retry_delay;
    }
    return std::clamp(
        from_seconds(missing / rate), duration(min_retry_delay),
        duration(max_retry_delay));
}

} // namespace

wire_rates::loan_request_data& request_to(
    rates_context& context, loan_requests& requests, host_id to,
    bool between_data_centres)
{
    auto& request = requests[{to, between_data_centres}];
    if (request.request == 0)
    {
        request.request = ++context.state.loans.last_request;
        request.between_data_centres = between_data_centres;
    }
    return request;
}

void add_item(
    wire_rates::loan_request_data& request, workspace_id workspace,
    double wanted)
{
    auto item = std::make_unique<wire_rates::loan_item_data>();
    item->workspace = static_cast<std::uint64_t>(workspace);
    item->wanted = wanted;
    request.items.push_back(std::move(item));
}

void add_settlement(
    wire_rates::loan_request_data& request, workspace_id workspace,
    std::uint64_t loan_id, double used, bool closed)
{
    auto settlement = std::make_unique<wire_rates::loan_settlement_data>();
    settlement->workspace = static_cast<std::uint64_t>(workspace);
    settlement->loan = loan_id;
    settlement->used = used;
    settlement->closed = closed;
    request.settlements.push_back(std::move(settlement));
}

void send_requests(rates_context& context, loan_requests& requests)
{
    for (auto& [key, request] : requests)
    {
        sent_request& sent = context.state.loans.sent[request.request];
        sent.requested_at = context.now;
        sent.between_data_centres = key.between_data_centres;
        for (const auto& settlement : request.settlements)
        {
            if (settlement->closed)
            {
                sent.closed.push_back(
                    {static_cast<workspace_id>(settlement->workspace),
                     settlement->loan});
            }
        }
        send_rates_message(context, key.to, std::move(request));
    }
}

void set_allowances(rates_context& context)
{
    for (const auto& [id, settings] : context.state.workspaces)
    {
        set_allowance(context, shard_of(id), id, settings);
    }
}

void tick_loans(rates_context& context)
{
    rates_state& state = context.state;
    set_allowances(context);
    state.loans.busy = false;
    std::erase_if(
        state.loans.sent,
        [&context](const auto& entry)
        {
            return context.now - entry.second.requested_at >
                   sent_request_lifetime;
        });
    loan_requests requests;
    for (const auto& [id, settings] : state.workspaces)
    {
        add_workspace_requests(context, requests, id);
    }
    tick_remote_loans(context, requests);
    send_requests(context, requests);
}

void on_loan_request(
    rates_context& context, host_id from,
    const wire_rates::loan_request_data& in)
{
    rates_state& state = context.state;
    wire_rates::loan_reply_data reply;
    reply.request = in.request;
    for (const auto& settlement : in.settlements)
    {
        const auto id = static_cast<workspace_id>(settlement->workspace);
        auto& buckets = state.weight_leases.held[shard_of(id)].buckets;
        if (const auto found = buckets.find(id); found != buckets.end())
        {
            settle_loan(
                found->second, from, settlement->loan, settlement->used,
                settlement->closed);
        }
    }
    for (const auto& item : in.items)
    {
        const auto id = static_cast<workspace_id>(item->workspace);
        const std::uint32_t shard = shard_of(id);
        stewardship& held = state.weight_leases.held[shard];
        if (!is_lender(held, context.now) || state.leaving ||
            !state.workspaces.contains(id) || !std::isfinite(item->wanted))
        {
            reply.not_steward = true;
            continue;
        }
        auto [entry, added] = held.buckets.try_emplace(id);
        lender_bucket& bucket = entry->second;
        if (added)
        {
            bucket.refilled_at = context.now;
        }
        const auto limits = limits_of(context, shard, id);
        const std::uint64_t loan_id = ++state.loans.last_loan;
        const loan_offer offer =
            in.between_data_centres
                ? lend_to_data_centre(
                      bucket, limits, from, loan_id, item->wanted,
                      state.settings.data_centre_loan_term, context.now)
                : lend_to_host(
                      bucket, limits, from, loan_id, item->wanted,
                      state.settings.loan_term, context.now);
        auto grant = std::make_unique<wire_rates::loan_grant_data>();
        grant->workspace = item->workspace;
        grant->loan = loan_id;
        grant->amount = offer.amount;
        grant->term_us = to_microseconds(offer.term);
        grant->retry_after_us = to_microseconds(retry_delay(
            1.0 - lendable(bucket, limits, context.now), limits.rate));
        reply.grants.push_back(std::move(grant));
    }
    send_rates_message(context, from, std::move(reply));
}

void on_loan_reply(
    rates_context& context, host_id from, const wire_rates::loan_reply_data& in)
{
    rates_state& state = context.state;
    const auto found = state.loans.sent.find(in.request);
    if (found == state.loans.sent.end())
    {
        return;
    }
    const sent_request sent = std::move(found->second);
    state.loans.sent.erase(found);
    if (sent.between_data_centres)
    {
        on_remote_loan_reply(context, from, sent, in);
        return;
    }
    for (const auto& [workspace, loan_id] : sent.closed)
    {
        drop_token_loan(context.inputs.limiter, workspace, loan_id);
    }
    for (auto& [id, demand] : state.loans.demand)
    {
        if (demand.request == in.request)
        {
            demand.request = 0;
            demand.next_request_at = in.not_steward
                                         ? context.now + max_retry_delay / 4
                                         : context.now;
        }
    }
    for (const auto& grant : in.grants)
    {
        const auto id = static_cast<workspace_id>(grant->workspace);
        if (grant->amount <= 0.0)
        {
            state.loans.demand[id].next_request_at =
                context.now + from_microseconds(grant->retry_after_us);
            continue;
        }
        const time_point expires_at =
            sent.requested_at + from_microseconds(grant->term_us);
        add_token_loan(
            context.inputs.limiter, id,
            {grant->loan, from, grant->amount, 0.0, expires_at, 0.0, false});
    }
}

} // namespace cyclamenhold
