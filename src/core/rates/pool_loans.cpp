#include "core/rates/pool_loans.hpp"

#include "core/rates/rates_context.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

// A holder keeps the tokens that its own hosts are expected to need within this
// time.
constexpr duration kept_for = 250ms;
// A lender without tokens to spare is not asked again for this time at least
// and at most.
constexpr duration min_empty_time = 50ms;
constexpr duration max_empty_time = 500ms;
// A larger message would not fit into a datagram.
constexpr std::size_t max_items = 64;

bool is_empty(
    const rates_context& context, const borrowed_tokens& borrowed, host_id host)
{
    const auto found = borrowed.empty_until.find(host);
    return found != borrowed.empty_until.end() && context.now < found->second;
}

// The first pool host of the shard in each other data centre, if it answers and
// may have tokens to spare.
std::vector<host_id>
possible_lenders(const rates_context& context, workspace_id id)
{
    const token_pool_state& pools = context.state.pools;
    const auto& members = context.inputs.members.members;
    const std::uint32_t shard = shard_of(id);
    std::map<data_centre_id, std::vector<host_id>> candidates;
    for (const auto& [host, shards] : pools.hosts.others)
    {
        const auto found = members.find(host);
        if ((shards >> shard & 1U) != 0 && found != members.end() &&
            found->second.data_centre != context.state.settings.data_centre)
        {
            candidates[found->second.data_centre].push_back(host);
        }
    }
    const auto borrowed = pools.borrowing.find(id);
    std::vector<host_id> lenders;
    for (const auto& [data_centre, hosts] : candidates)
    {
        const host_id first = rendezvous_winner(shard, hosts);
        const bool may_lend = !is_silent(pools, first) &&
                              !is_declined(context, first) &&
                              (borrowed == pools.borrowing.end() ||
                               !is_empty(context, borrowed->second, first));
        if (may_lend)
        {
            lenders.push_back(first);
        }
    }
    return lenders;
}

host_id select_lender(
    rates_context& context, workspace_id id, const borrowed_tokens& borrowed)
{
    const auto lenders = possible_lenders(context, id);
    if (lenders.empty())
    {
        return host_id::none;
    }
    return std::ranges::find(lenders, borrowed.lender) != lenders.end()
               ? borrowed.lender
               : lenders[random_below(context.random, lenders.size())];
}

void send_loan_requests(
    rates_context& context, host_id to,
    const std::vector<wire_rates::pool_item>& items)
{
    token_pool_state& pools = context.state.pools;
    for (std::size_t begin = 0; begin < items.size(); begin += max_items)
    {
        const auto end = std::min(begin + max_items, items.size());
        wire_rates::pool_request_data request;
        request.request = ++pools.last_request;
        for (std::size_t index = begin; index < end; ++index)
        {
            const auto id = static_cast<workspace_id>(items[index].workspace());
            pools.borrowing[id].request = request.request;
            request.items.push_back(items[index]);
        }
        sent_pool_request sent{to, context.now};
        sent.is_loan = true;
        pools.sent[request.request] = sent;
        wire_rates::bodyUnion body;
        body.Set(std::move(request));
        send_rates_datagram(context, to, std::move(body));
    }
}

// Whether a request of the workspace is on the way.
bool is_requested(const rates_context& context, borrowed_tokens& borrowed)
{
    const auto& sent = context.state.pools.sent;
    const auto found = sent.find(borrowed.request);
    if (found == sent.end() || found->second.is_late)
    {
        borrowed.request = 0;
    }
    return borrowed.request != 0;
}

wire_rates::pool_grant
lend_spare(rates_context& context, const wire_rates::pool_item& item)
{
    const auto id = static_cast<workspace_id>(item.workspace());
    const auto& own = context.state.demand.own;
    const auto& borrowing = context.state.pools.borrowing;
    const auto demand = own.find(id);
    const auto borrowed = borrowing.find(id);
    const double wanted = item.wanted();
    const bool may_lend =
        context.state.workspaces.contains(id) &&
        holds_pool(context, shard_of(id)) && std::isfinite(wanted) &&
        wanted > 0.0 &&
        (borrowed == borrowing.end() || borrowed->second.unmet < 1.0);
    if (!may_lend)
    {
        return {
            item.workspace(), 0.0F,
            static_cast<std::uint32_t>(to_microseconds(max_empty_time))};
    }
    const double kept =
        demand == own.end() ? 0.0 : demand->second * to_seconds(kept_for);
    const double amount = lend_spare_tokens(
        context.inputs.limiter, id, wanted, kept, context.now);
    const auto level =
        bucket_refusal(context.inputs.limiter, id, context.now).level;
    const double missing = kept + 1.0 - level.tokens;
    const duration wait =
        amount >= wanted ? duration::zero()
        : level.rate <= 0.0
            ? max_empty_time
            : std::clamp(
                  from_seconds(missing / level.rate), duration(min_empty_time),
                  duration(max_empty_time));
    return {
        item.workspace(), static_cast<float>(amount),
        static_cast<std::uint32_t>(to_microseconds(wait))};
}

} // namespace

bool is_in_other_data_centre(const rates_context& context, host_id host)
{
    const auto& members = context.inputs.members.members;
    const auto found = members.find(host);
    return found != members.end() &&
           found->second.data_centre != context.state.settings.data_centre;
}

bool note_unmet(rates_context& context, workspace_id id, double missing)
{
    if (missing < 1.0)
    {
        return false;
    }
    auto& borrowing = context.state.pools.borrowing;
    const auto found = borrowing.find(id);
    const bool is_expected =
        (found != borrowing.end() && is_requested(context, found->second)) ||
        !possible_lenders(context, id).empty();
    if (is_expected)
    {
        borrowing[id].unmet += missing;
    }
    return is_expected;
}

void note_own_waiters(rates_context& context, workspace_id id, double missing)
{
    if (missing >= 1.0)
    {
        note_unmet(context, id, std::ceil(missing));
    }
    set_lenders(
        context.inputs.limiter, id, !possible_lenders(context, id).empty());
}

void request_pool_loans(rates_context& context)
{
    std::map<host_id, std::vector<wire_rates::pool_item>> requests;
    for (auto& [id, borrowed] : context.state.pools.borrowing)
    {
        if (borrowed.unmet < 1.0 || is_requested(context, borrowed))
        {
            continue;
        }
        const double wanted = std::exchange(borrowed.unmet, 0.0);
        if (!holds_pool(context, shard_of(id)))
        {
            continue;
        }
        if (const host_id lender = select_lender(context, id, borrowed);
            lender != host_id::none)
        {
            requests[lender].emplace_back(
                static_cast<std::uint64_t>(id), static_cast<float>(wanted),
                0.0F);
        }
    }
    for (const auto& [lender, items] : requests)
    {
        send_loan_requests(context, lender, items);
    }
}

void on_pool_loan_request(
    rates_context& context, host_id from,
    const wire_rates::pool_request_data& in)
{
    wire_rates::pool_reply_data reply;
    reply.request = in.request;
    reply.declined = context.state.leaving || is_starting(context);
    if (!reply.declined)
    {
        for (const auto& item : in.items)
        {
            reply.grants.push_back(lend_spare(context, item));
        }
    }
    wire_rates::bodyUnion body;
    body.Set(std::move(reply));
    send_rates_datagram(context, from, std::move(body));
}

void on_pool_loan_reply(
    rates_context& context, const sent_pool_request& sent,
    const wire_rates::pool_reply_data& in)
{
    for (const auto& grant : in.grants)
    {
        const auto id = static_cast<workspace_id>(grant.workspace());
        const auto found = context.state.pools.borrowing.find(id);
        if (found == context.state.pools.borrowing.end() ||
            !std::isfinite(grant.amount()))
        {
            continue;
        }
        borrowed_tokens& borrowed = found->second;
        borrowed.request = 0;
        if (grant.amount() > 0.0F)
        {
            borrowed.lender = sent.to;
            add_pool_tokens(
                context.inputs.limiter, id, grant.amount(),
                sent.sent_at + pool_loan_term, context.now);
        }
        if (grant.retry_after_us() != 0)
        {
            borrowed.empty_until[sent.to] =
                context.now + from_microseconds(grant.retry_after_us());
            if (borrowed.lender == sent.to && grant.amount() <= 0.0F)
            {
                borrowed.lender = host_id::none;
            }
        }
    }
    request_pool_loans(context);
}

} // namespace cyclamenhold
