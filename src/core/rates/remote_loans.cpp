#include "core/rates/remote_loans.hpp"

#include "core/rates/step.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

constexpr double smallest_want = 0.01;
constexpr duration remote_timeout = 300ms;
constexpr duration ask_interval = 10ms;
constexpr duration report_interval = 50ms;
constexpr duration first_back_off = 20ms;
constexpr duration longest_back_off = 1s;

// The data centres of the configuration besides this one.
std::vector<data_centre_id> other_data_centres(const rates_step& step)
{
    std::vector<data_centre_id> others;
    for (const auto& entry : step.inputs.current.data_centres)
    {
        const data_centre_id id = data_centre_id_of(entry.name);
        if (id != step.state.settings.data_centre)
        {
            others.push_back(id);
        }
    }
    return others;
}

// The host that should be steward of a shard in another data centre.
host_id remote_steward(
    const rates_step& step, data_centre_id data_centre, std::uint32_t shard)
{
    std::vector<host_id> hosts;
    for (const auto& [host, entry] : step.inputs.members.members)
    {
        if (entry.data_centre == data_centre &&
            entry.state == member_state::alive)
        {
            hosts.push_back(host);
        }
    }
    return rendezvous_winner(shard, hosts);
}

void slow_down(remote_lender& lender, time_point now)
{
    lender.back_off = std::clamp(
        lender.back_off * 2, duration(first_back_off),
        duration(longest_back_off));
    lender.next_ask_at = now + lender.back_off;
}

bool may_ask(remote_lender& lender, time_point now)
{
    if (lender.request != 0 && now - lender.asked_at >= remote_timeout)
    {
        lender.request = 0;
        slow_down(lender, now);
    }
    return lender.request == 0 && now >= lender.next_ask_at;
}

// Tells lenders what became of the tokens they lent.
void report_borrowed(
    rates_step& step, loan_requests& requests, workspace_id id,
    lender_bucket& bucket)
{
    if (step.now - bucket.reported_at < report_interval)
    {
        return;
    }
    bucket.reported_at = step.now;
    for (auto& lot : bucket.lots)
    {
        if (!lot.closed && lot.used <= lot.reported_used)
        {
            continue;
        }
        lot.reported_used = lot.used;
        add_settlement(
            request_to(step, requests, lot.lender, true), id, lot.loan,
            lot.used, lot.closed);
    }
}

void ask_others(
    rates_step& step, loan_requests& requests, std::uint32_t shard,
    workspace_id id, double wanted)
{
    std::vector<data_centre_id> ready;
    for (const data_centre_id other : other_data_centres(step))
    {
        if (may_ask(step.state.loans.remote[{id, other}], step.now))
        {
            ready.push_back(other);
        }
    }
    for (const data_centre_id other : ready)
    {
        const host_id steward = remote_steward(step, other, shard);
        if (steward == host_id::none)
        {
            continue;
        }
        remote_lender& lender = step.state.loans.remote[{id, other}];
        auto& request = request_to(step, requests, steward, true);
        add_item(request, id, wanted / static_cast<double>(ready.size()));
        lender.request = request.request;
        lender.asked_at = step.now;
    }
}

} // namespace

void keep_remote_loans(rates_step& step, loan_requests& requests)
{
    rates_state& state = step.state;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        stewardship& held = state.pledges.held[shard];
        if (held.pledges.empty())
        {
            continue;
        }
        for (auto& [id, bucket] : held.buckets)
        {
            const auto limits = limits_of(step, shard, id);
            refill_lender(bucket, limits, step.now);
            report_borrowed(step, requests, id, bucket);
            const double wanted = unmet_wants(bucket, step.now) -
                                  lendable(bucket, limits, step.now);
            if (wanted >= smallest_want && !state.leaving)
            {
                state.loans.busy = true;
                ask_others(step, requests, shard, id, wanted);
            }
        }
    }
}

void on_remote_loan_reply(
    rates_step& step, host_id from, const sent_request& sent,
    const wire_rates::loan_reply_data& in)
{
    rates_state& state = step.state;
    for (const auto& [workspace, loan] : sent.closed)
    {
        auto& buckets = state.pledges.held[shard_of(workspace)].buckets;
        if (const auto found = buckets.find(workspace); found != buckets.end())
        {
            std::erase_if(
                found->second.lots,
                [loan = loan](const borrowed_lot& lot)
                {
                    return lot.loan == loan && lot.closed;
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
            slow_down(lender, step.now);
            continue;
        }
        lender.back_off = {};
        lender.next_ask_at = step.now + ask_interval;
        borrowed_lot lot;
        lot.loan = (*grant)->loan;
        lot.lender = from;
        lot.data_centre = key.data_centre;
        lot.tokens = (*grant)->amount;
        lot.expires_at = sent.asked_at + from_microseconds((*grant)->term_us);
        auto& held = state.pledges.held[shard_of(key.workspace)];
        auto [entry, added] = held.buckets.try_emplace(key.workspace);
        if (added)
        {
            entry->second.refilled_at = step.now;
        }
        entry->second.lots.push_back(lot);
    }
}

} // namespace cyclamenhold
