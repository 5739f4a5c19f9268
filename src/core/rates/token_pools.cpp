#include "core/rates/token_pools.hpp"

#include "core/rates/pool_loans.hpp"
#include "core/rates/rates_context.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

constexpr duration sample_interval = 100ms;
constexpr double averaging_seconds = 1.0;
// A host requests tokens for the arrivals that it expects within this time.
constexpr duration demand_horizon = 250ms;
// Arrivals that need no tokens are reported at this interval.
constexpr duration report_interval = 250ms;
// A pool with this many requests unanswered in a row is silent. It is tried
// again at this interval.
constexpr std::uint32_t max_unanswered = 2;
constexpr duration trial_interval = 1s;
// A host that has declined gets the next request after this time.
constexpr duration declined_interval = 250ms;
// A host holds a pool for this time after the last request of another host.
constexpr duration pool_holding_time = 1s;
constexpr duration min_retry_delay = 10ms;
constexpr duration max_retry_delay = 1s;
// A pool without a rate waits for confirmations of other holders.
constexpr duration no_rate_retry_delay = 200ms;
// A larger message would not fit into a datagram.
constexpr std::size_t max_items = 64;

using pool_requests = std::map<host_id, std::vector<wire_rates::pool_item>>;

// The time constant of the rate is long enough that a single arrival does not
// raise it to one in the horizon: a second token would expire unused.
void sample_rate(entry_demand& demand, double arrivals, time_point now)
{
    demand.arrivals += arrivals;
    demand.unreported += arrivals;
    const duration elapsed = now - demand.sampled_at;
    if (elapsed < sample_interval)
    {
        return;
    }
    const double decay = std::exp(-to_seconds(elapsed) / averaging_seconds);
    demand.rate = decay * demand.rate +
                  (1.0 - decay) * demand.arrivals / to_seconds(elapsed);
    demand.arrivals = 0.0;
    demand.sampled_at = now;
}

// The host to request tokens of a shard from; none while all are silent and
// none is due for a trial.
host_id select_pool(rates_context& context, std::uint32_t shard)
{
    auto& pools = context.state.pools;
    for (const host_id host : pools.hosts.local[shard])
    {
        const bool declines =
            host == context.state.settings.self && is_starting(context);
        if (declines || is_declined(context, host))
        {
            continue;
        }
        if (!is_silent(pools, host))
        {
            return host;
        }
        pool_contact& contact = pools.contacts[host];
        if (context.now >= contact.next_trial_at)
        {
            contact.next_trial_at = context.now + trial_interval;
            return host;
        }
    }
    return host_id::none;
}

void record_unanswered(rates_context& context, host_id host)
{
    pool_contact& contact = context.state.pools.contacts[host];
    ++contact.unanswered;
    if (contact.unanswered >= max_unanswered &&
        contact.silent_since == time_point{})
    {
        contact.silent_since = context.now;
        contact.next_trial_at = context.now + trial_interval;
    }
}

// Adds a request for the tokens that a workspace needs, or a report of its
// arrivals.
void add_item(
    rates_context& context, pool_requests& requests, workspace_id id,
    double wanted, bool has_waiters)
{
    entry_demand& demand = context.state.pools.entering[id];
    const bool is_due = wanted >= 1.0 && context.now >= demand.next_request_at;
    const bool is_report_due =
        demand.unreported > 0.0 &&
        context.now - demand.reported_at >= report_interval;
    demand.has_waiters = has_waiters && !is_due;
    if (demand.request != 0 || (!is_due && !is_report_due))
    {
        return;
    }
    const host_id host = select_pool(context, shard_of(id));
    if (host == host_id::none)
    {
        return;
    }
    requests[host].emplace_back(
        static_cast<std::uint64_t>(id),
        static_cast<float>(is_due ? wanted : 0.0),
        static_cast<float>(demand.unreported));
    demand.unreported = 0.0;
    demand.reported_at = context.now;
}

void send_requests(rates_context& context, const pool_requests& requests)
{
    auto& pools = context.state.pools;
    for (const auto& [host, items] : requests)
    {
        for (std::size_t begin = 0; begin < items.size(); begin += max_items)
        {
            const auto end = std::min(begin + max_items, items.size());
            wire_rates::pool_request_data request;
            request.request = ++pools.last_request;
            for (std::size_t index = begin; index < end; ++index)
            {
                const auto id =
                    static_cast<workspace_id>(items[index].workspace());
                pools.entering[id].request = request.request;
                request.items.push_back(items[index]);
            }
            pools.sent[request.request] = {host, context.now};
            wire_rates::bodyUnion body;
            body.Set(std::move(request));
            send_rates_datagram(context, host, std::move(body));
        }
    }
}

void expire_requests(rates_context& context)
{
    auto& pools = context.state.pools;
    std::erase_if(
        pools.sent,
        [&context](const auto& entry)
        {
            return context.now - entry.second.sent_at >= pool_token_term;
        });
    for (auto& [request, sent] : pools.sent)
    {
        if (!sent.is_late && context.now - sent.sent_at >= pool_request_timeout)
        {
            sent.is_late = true;
            record_unanswered(context, sent.to);
        }
    }
    for (auto& [id, demand] : pools.entering)
    {
        const auto found = pools.sent.find(demand.request);
        if (found == pools.sent.end() || found->second.is_late)
        {
            demand.request = 0;
        }
    }
}

duration retry_delay(double missing, double rate)
{
    return rate <= 0.0
               ? no_rate_retry_delay
               : std::clamp(
                     from_seconds(missing / rate), duration(min_retry_delay),
                     duration(max_retry_delay));
}

} // namespace

bool is_starting(const rates_context& context)
{
    const time_point started_at = context.state.demand.started_at;
    return started_at == time_point{} ||
           context.now - started_at < startup_time;
}

bool holds_pool(const rates_context& context, std::uint32_t shard)
{
    const auto& pools = context.state.pools;
    return !context.state.leaving && !is_starting(context) &&
           (is_first_pool_host(
                pools.hosts, context.state.settings.self, shard) ||
            context.now < pools.requested_until[shard]);
}

void tick_token_pools(rates_context& context)
{
    rates_state& state = context.state;
    expire_requests(context);
    const auto is_deleted = [&state](const auto& entry)
    {
        return !state.workspaces.contains(entry.first);
    };
    std::erase_if(state.pools.entering, is_deleted);
    std::erase_if(state.pools.borrowing, is_deleted);
    pool_requests requests;
    for (const auto& [id, settings] : state.workspaces)
    {
        const auto sample =
            sample_demand(context.inputs.limiter, id, context.now);
        const std::uint32_t shard = shard_of(id);
        entry_demand& demand = state.pools.entering[id];
        sample_rate(demand, sample.arrivals, context.now);
        if (settings.unlimited)
        {
            continue;
        }
        if (holds_pool(context, shard))
        {
            state.pools.pool_arrivals[id] +=
                std::exchange(demand.unreported, 0.0);
            demand.has_waiters = false;
            note_own_waiters(context, id, sample.waiting - sample.available);
            continue;
        }
        const double expected =
            std::floor(demand.rate * to_seconds(demand_horizon));
        add_item(
            context, requests, id,
            std::ceil(sample.waiting + expected - sample.available),
            sample.waiting > 0.0);
    }
    send_requests(context, requests);
    request_pool_loans(context);
}

time_point token_pools_due(const rates_state& state)
{
    time_point due = time_point::max();
    for (const auto& [request, sent] : state.pools.sent)
    {
        if (!sent.is_late)
        {
            due = std::min(due, sent.sent_at + pool_request_timeout);
        }
    }
    for (const auto& [id, demand] : state.pools.entering)
    {
        if (demand.has_waiters && demand.request == 0)
        {
            due = std::min(due, demand.next_request_at);
        }
    }
    return due;
}

void on_pool_request(
    rates_context& context, host_id from,
    const wire_rates::pool_request_data& in)
{
    rates_state& state = context.state;
    if (is_in_other_data_centre(context, from))
    {
        on_pool_loan_request(context, from, in);
        return;
    }
    wire_rates::pool_reply_data reply;
    reply.request = in.request;
    reply.declined = state.leaving || is_starting(context);
    for (const auto& item : in.items)
    {
        const auto id = static_cast<workspace_id>(item.workspace());
        const auto found = state.workspaces.find(id);
        const double wanted = item.wanted();
        const double arrivals = item.arrivals();
        if (reply.declined || found == state.workspaces.end() ||
            !std::isfinite(wanted) || !std::isfinite(arrivals) ||
            wanted < 0.0 || arrivals < 0.0)
        {
            continue;
        }
        const std::uint32_t shard = shard_of(id);
        const bool held = holds_pool(context, shard);
        state.pools.requested_until[shard] = context.now + pool_holding_time;
        if (!held)
        {
            start_pool(context, shard);
        }
        state.pools.pool_arrivals[id] += arrivals;
        const double amount =
            lend_tokens(context.inputs.limiter, id, wanted, context.now);
        const auto level =
            bucket_refusal(context.inputs.limiter, id, context.now).level;
        const duration refill =
            amount >= wanted ? duration::zero()
                             : retry_delay(1.0 - level.tokens, level.rate);
        const duration wait = note_unmet(context, id, wanted - amount)
                                  ? std::min(refill, duration(pool_loan_delay))
                                  : refill;
        reply.grants.emplace_back(
            item.workspace(), static_cast<float>(amount),
            static_cast<std::uint32_t>(to_microseconds(wait)));
    }
    wire_rates::bodyUnion body;
    body.Set(std::move(reply));
    send_rates_datagram(context, from, std::move(body));
    request_pool_loans(context);
}

void on_pool_reply(
    rates_context& context, host_id from, const wire_rates::pool_reply_data& in)
{
    auto& pools = context.state.pools;
    pools.contacts.erase(from);
    if (in.declined)
    {
        pools.contacts[from].declined_until = context.now + declined_interval;
    }
    const auto found = pools.sent.find(in.request);
    if (found == pools.sent.end() || found->second.to != from)
    {
        return;
    }
    const sent_pool_request sent = found->second;
    const time_point expires_at = sent.sent_at + pool_token_term;
    pools.sent.erase(found);
    if (sent.is_loan)
    {
        on_pool_loan_reply(context, sent, in);
        return;
    }
    for (const auto& grant : in.grants)
    {
        const auto id = static_cast<workspace_id>(grant.workspace());
        const auto entering = pools.entering.find(id);
        if (entering == pools.entering.end() || !std::isfinite(grant.amount()))
        {
            continue;
        }
        if (grant.amount() > 0.0F)
        {
            add_pool_tokens(
                context.inputs.limiter, id, grant.amount(), expires_at,
                context.now);
        }
        const time_point refills_at =
            grant.retry_after_us() == 0
                ? time_point{}
                : context.now + from_microseconds(grant.retry_after_us());
        entering->second.next_request_at = refills_at;
        set_pool_refill(context.inputs.limiter, id, refills_at);
    }
    for (auto& [id, demand] : pools.entering)
    {
        if (demand.request == in.request)
        {
            demand.request = 0;
        }
    }
    // Callers may have arrived since the request.
    tick_token_pools(context);
}

} // namespace cyclamenhold
