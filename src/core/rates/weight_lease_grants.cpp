#include "core/rates/lease_terms.hpp"
#include "core/rates/rates_context.hpp"
#include "core/rates/weight_leases.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

// Leases this host's weight in the requested shards to `holder` where the
// weight is free or the same incarnation of `holder` already holds it. Returns
// a bit for each shard granted.
std::uint32_t grant_weight_leases(
    rates_context& context, host_id holder,
    const wire_rates::pledge_request_data& in)
{
    rates_state& state = context.state;
    const std::uint32_t wanted = in.shards & all_shards;
    std::uint32_t granted_shards = 0;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        granted_weight_lease& weight_lease = state.weight_leases.granted[shard];
        const bool is_held = weight_lease.holder == holder &&
                             weight_lease.holder_incarnation == in.incarnation;
        const bool is_free = weight_lease.ends_at <= context.now || is_held;
        if ((wanted >> shard & 1U) == 0 || !is_free ||
            state.weight_leases.winners[shard] != holder)
        {
            continue;
        }
        if (weight_lease.ends_at > context.now &&
            weight_lease.index < state.hosts.known.index)
        {
            weight_lease.older_index = weight_lease.older_ends_at > context.now
                                           ? weight_lease.older_index
                                           : weight_lease.index;
            weight_lease.older_ends_at = weight_lease.ends_at;
        }
        weight_lease.holder = holder;
        weight_lease.holder_incarnation = in.incarnation;
        weight_lease.round = in.round;
        weight_lease.index = state.hosts.known.index;
        weight_lease.ends_at = context.now + grantor_term(state.settings.term);
        granted_shards |= 1U << shard;
        state.weights_changed = true;
    }
    return granted_shards;
}

} // namespace

void record_epochs(
    rates_context& context, host_id from,
    const std::vector<wire_rates::shard_epoch>& epochs, bool from_steward)
{
    for (const auto& entry : epochs)
    {
        if (entry.shard() >= shard_count)
        {
            continue;
        }
        observed_epoch& observed =
            context.state.weight_leases.observed[entry.shard()];
        if (entry.epoch() > observed.epoch ||
            (entry.epoch() == observed.epoch &&
             entry.generation() > observed.generation))
        {
            observed = {
                entry.epoch(), entry.generation(),
                from_steward ? from : host_id::none};
        }
        else if (from_steward && entry.epoch() == observed.epoch)
        {
            observed.steward = from;
        }
    }
}

bool has_unleased_weight(const rates_context& context, std::uint32_t shard)
{
    return is_active(context) &&
           context.state.weight_leases.granted[shard].ends_at <= context.now;
}

std::uint64_t confirmed_index(const rates_context& context)
{
    if (is_in_restart_wait(context))
    {
        return 0;
    }
    std::uint64_t lowest = context.state.hosts.known.index;
    for (const auto& weight_lease : context.state.weight_leases.granted)
    {
        if (weight_lease.ends_at > context.now)
        {
            lowest = std::min(lowest, weight_lease.index);
        }
        if (weight_lease.older_ends_at > context.now)
        {
            lowest = std::min(lowest, weight_lease.older_index);
        }
    }
    return lowest;
}

void on_weight_lease_request(
    rates_context& context, host_id from,
    const wire_rates::pledge_request_data& in)
{
    rates_state& state = context.state;
    update_winners(context);
    state.hosts.floor = std::max(state.hosts.floor, in.floor);
    record_epochs(context, from, in.epochs, true);
    if (in.index > state.hosts.known.index)
    {
        state.hosts.next_query_at = context.now;
        wire_rates::roster_query_data query;
        query.query = state.hosts.query;
        query.index = state.hosts.known.index;
        send_rates_message(context, from, query);
    }
    wire_rates::pledge_reply_data reply;
    reply.round = in.round;
    reply.index = state.hosts.known.index;
    reply.floor = state.hosts.floor;
    reply.parts =
        static_cast<std::uint32_t>(weight_parts(state.hosts, context.now));
    const duration left = contact_time_left(context);
    if (is_active(context) && !state.leaving && left > 0s &&
        in.index == state.hosts.known.index && reply.parts > 0 &&
        contains(state.hosts.known, from))
    {
        reply.shards = grant_weight_leases(context, from, in);
        reply.term_us = to_microseconds(std::min(state.settings.term, left));
    }
    reply.confirmed = confirmed_index(context);
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        const observed_epoch& observed = state.weight_leases.observed[shard];
        if ((in.shards >> shard & 1U) != 0 && observed.epoch != 0)
        {
            reply.epochs.emplace_back(
                shard, observed.epoch, observed.generation);
        }
    }
    send_rates_message(context, from, std::move(reply));
}

void on_weight_lease_release(
    rates_context& context, host_id from,
    const wire_rates::pledge_release_data& in)
{
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        granted_weight_lease& weight_lease =
            context.state.weight_leases.granted[shard];
        const bool is_same_incarnation = weight_lease.round >= in.first_round &&
                                         weight_lease.round <= in.last_round;
        if ((in.shards >> shard & 1U) != 0 && weight_lease.holder == from &&
            is_same_incarnation)
        {
            weight_lease.ends_at = std::min(weight_lease.ends_at, context.now);
        }
    }
}

} // namespace cyclamenhold
