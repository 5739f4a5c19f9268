#include "core/rates/loans.hpp"

#include "core/rates/remote_loans.hpp"
#include "core/rates/step.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

constexpr duration demand_window = 100ms;
// A host asks for what it will need in this time.
constexpr duration horizon = 100ms;
constexpr duration request_timeout = 150ms;
constexpr duration report_interval = 20ms;
constexpr duration shortest_retry = 5ms;
constexpr duration longest_retry = 200ms;
constexpr duration sent_kept = 3s;

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
    rates_step& step, std::uint32_t shard, workspace_id id,
    const workspace& settings)
{
    const rates_state& state = step.state;
    own_allowance allowance;
    if (holds_own_weight(step, shard) && !state.leaving)
    {
        const double weight =
            state.share /
            static_cast<double>(weight_parts(state.hosts, step.now));
        allowance = {
            settings.rate * weight, settings.burst * weight,
            contact_until(step)};
    }
    set_own_allowance(step.inputs.limiter, id, allowance, step.now);
}

host_id steward_for(const rates_step& step, std::uint32_t shard)
{
    const auto& pledges = step.state.pledges;
    const given_pledge& given = pledges.given[shard];
    return given.ends_at > step.now ? given.to : pledges.winners[shard];
}

bool may_ask(const workspace_demand& demand, time_point now)
{
    const bool under_way =
        demand.request != 0 && now - demand.asked_at < request_timeout;
    return !under_way && now >= demand.next_ask_at;
}

// Adds what this host has to say about one workspace to the requests.
void add_workspace(
    rates_step& step, loan_requests& requests, workspace_id id,
    const workspace& settings)
{
    rates_state& state = step.state;
    const std::uint32_t shard = shard_of(id);
    set_allowance(step, shard, id, settings);
    workspace_demand& demand = state.loans.demand[id];
    const auto sample = sample_demand(step.inputs.limiter, id, step.now);
    sample_rate(demand, sample.arrivals, step.now);
    state.loans.busy = state.loans.busy || sample.waiting > 0.0;
    const double ahead = std::floor(demand.rate * to_seconds(horizon));
    const double wanted = std::ceil(sample.waiting + ahead - sample.available);
    const host_id steward = steward_for(step, shard);
    const bool asks = wanted >= 1.0 && steward != host_id::none &&
                      !state.leaving && may_ask(demand, step.now);
    if (!asks && step.now - demand.reported_at < report_interval &&
        !state.leaving)
    {
        return;
    }
    demand.reported_at = step.now;
    const time_point close_before =
        state.leaving ? time_point::max()
                      : step.now + state.settings.loan_term / 4;
    for (const auto& [loan, lender, used, closed] :
         report_lots(step.inputs.limiter, id, close_before, step.now))
    {
        add_settlement(
            request_to(step, requests, lender, false), id, loan, used, closed);
    }
    if (asks)
    {
        auto& request = request_to(step, requests, steward, false);
        add_item(request, id, wanted);
        demand.request = request.request;
        demand.asked_at = step.now;
    }
}

duration retry_time(double missing, double rate)
{
    if (rate <= 0.0)
    {
        return longest_retry;
    }
    return std::clamp(
        from_seconds(missing / rate), duration(shortest_retry),
        duration(longest_retry));
}

} // namespace

wire_rates::loan_request_data& request_to(
    rates_step& step, loan_requests& requests, host_id to,
    bool between_data_centres)
{
    auto& request = requests[{to, between_data_centres}];
    if (request.request == 0)
    {
        request.request = ++step.state.loans.last_request;
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
    std::uint64_t loan, double used, bool closed)
{
    auto settlement = std::make_unique<wire_rates::loan_settlement_data>();
    settlement->workspace = static_cast<std::uint64_t>(workspace);
    settlement->loan = loan;
    settlement->used = used;
    settlement->closed = closed;
    request.settlements.push_back(std::move(settlement));
}

void send_requests(rates_step& step, loan_requests& requests)
{
    for (auto& [key, request] : requests)
    {
        sent_request& sent = step.state.loans.sent[request.request];
        sent.asked_at = step.now;
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
        send_rates_message(step, key.to, std::move(request));
    }
}

void keep_loans(rates_step& step)
{
    rates_state& state = step.state;
    state.loans.busy = false;
    std::erase_if(
        state.loans.sent,
        [&step](const auto& entry)
        {
            return step.now - entry.second.asked_at > sent_kept;
        });
    loan_requests requests;
    for (const auto& [id, settings] : state.workspaces)
    {
        add_workspace(step, requests, id, settings);
    }
    keep_remote_loans(step, requests);
    send_requests(step, requests);
}

void on_loan_request(
    rates_step& step, host_id from, const wire_rates::loan_request_data& in)
{
    rates_state& state = step.state;
    wire_rates::loan_reply_data reply;
    reply.request = in.request;
    for (const auto& settlement : in.settlements)
    {
        const auto id = static_cast<workspace_id>(settlement->workspace);
        auto& buckets = state.pledges.held[shard_of(id)].buckets;
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
        stewardship& held = state.pledges.held[shard];
        if (!is_lender(held, step.now) || state.leaving ||
            !state.workspaces.contains(id) || !std::isfinite(item->wanted))
        {
            reply.not_steward = true;
            continue;
        }
        auto [entry, added] = held.buckets.try_emplace(id);
        lender_bucket& bucket = entry->second;
        if (added)
        {
            bucket.refilled_at = step.now;
        }
        const auto limits = limits_of(step, shard, id);
        const std::uint64_t loan = ++state.loans.last_loan;
        const loan_offer offer =
            in.between_data_centres
                ? lend_to_data_centre(
                      bucket, limits, from, loan, item->wanted,
                      state.settings.data_centre_loan_term, step.now)
                : lend_to_host(
                      bucket, limits, from, loan, item->wanted,
                      state.settings.loan_term, step.now);
        auto grant = std::make_unique<wire_rates::loan_grant_data>();
        grant->workspace = item->workspace;
        grant->loan = loan;
        grant->amount = offer.amount;
        grant->term_us = to_microseconds(offer.term);
        grant->retry_after_us = to_microseconds(
            retry_time(1.0 - lendable(bucket, limits, step.now), limits.rate));
        reply.grants.push_back(std::move(grant));
    }
    send_rates_message(step, from, std::move(reply));
}

void on_loan_reply(
    rates_step& step, host_id from, const wire_rates::loan_reply_data& in)
{
    rates_state& state = step.state;
    const auto found = state.loans.sent.find(in.request);
    if (found == state.loans.sent.end())
    {
        return;
    }
    const sent_request sent = std::move(found->second);
    state.loans.sent.erase(found);
    if (sent.between_data_centres)
    {
        on_remote_loan_reply(step, from, sent, in);
        return;
    }
    for (const auto& [workspace, loan] : sent.closed)
    {
        forget_lot(step.inputs.limiter, workspace, loan);
    }
    for (auto& [id, demand] : state.loans.demand)
    {
        if (demand.request == in.request)
        {
            demand.request = 0;
            demand.next_ask_at =
                in.not_steward ? step.now + longest_retry / 4 : step.now;
        }
    }
    for (const auto& grant : in.grants)
    {
        const auto id = static_cast<workspace_id>(grant->workspace);
        if (grant->amount <= 0.0)
        {
            state.loans.demand[id].next_ask_at =
                step.now + from_microseconds(grant->retry_after_us);
            continue;
        }
        const time_point expires_at =
            sent.asked_at + from_microseconds(grant->term_us);
        add_lot(
            step.inputs.limiter, id,
            {grant->loan, from, grant->amount, 0.0, expires_at, 0.0, false});
    }
}

} // namespace cyclamenhold
