#include "core/rates/pledges.hpp"
#include "core/rates/step.hpp"
#include "core/rates/terms.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

// Gives the weight of the shards to `to` where it is free or already there.
std::uint32_t give_pledges(
    rates_step& step, host_id to, const wire_rates::pledge_request_data& in)
{
    rates_state& state = step.state;
    const std::uint32_t wanted = in.shards & all_shards;
    std::uint32_t given = 0;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        given_pledge& pledge = state.pledges.given[shard];
        const bool held = pledge.to == to && pledge.to_life == in.incarnation;
        const bool free = pledge.ends_at <= step.now || held;
        if ((wanted >> shard & 1U) == 0 || !free ||
            state.pledges.winners[shard] != to)
        {
            continue;
        }
        if (pledge.ends_at > step.now && pledge.index < state.hosts.known.index)
        {
            pledge.older_index = pledge.older_ends_at > step.now
                                     ? pledge.older_index
                                     : pledge.index;
            pledge.older_ends_at = pledge.ends_at;
        }
        pledge.to = to;
        pledge.to_life = in.incarnation;
        pledge.round = in.round;
        pledge.index = state.hosts.known.index;
        pledge.ends_at = step.now + giver_term(state.settings.term);
        given |= 1U << shard;
    }
    return given;
}

} // namespace

void note_epochs(
    rates_step& step, host_id from,
    const std::vector<wire_rates::shard_epoch>& epochs, bool from_steward)
{
    for (const auto& entry : epochs)
    {
        if (entry.shard() >= shard_count)
        {
            continue;
        }
        heard_epoch& heard = step.state.pledges.heard[entry.shard()];
        if (entry.epoch() > heard.epoch ||
            (entry.epoch() == heard.epoch &&
             entry.generation() > heard.generation))
        {
            heard = {
                entry.epoch(), entry.generation(),
                from_steward ? from : host_id::none};
        }
        else if (from_steward && entry.epoch() == heard.epoch)
        {
            heard.steward = from;
        }
    }
}

bool holds_own_weight(const rates_step& step, std::uint32_t shard)
{
    return is_active(step) &&
           step.state.pledges.given[shard].ends_at <= step.now;
}

std::uint64_t confirmed_index(const rates_step& step)
{
    if (is_waiting(step))
    {
        return 0;
    }
    std::uint64_t lowest = step.state.hosts.known.index;
    for (const auto& pledge : step.state.pledges.given)
    {
        if (pledge.ends_at > step.now)
        {
            lowest = std::min(lowest, pledge.index);
        }
        if (pledge.older_ends_at > step.now)
        {
            lowest = std::min(lowest, pledge.older_index);
        }
    }
    return lowest;
}

void on_pledge_request(
    rates_step& step, host_id from, const wire_rates::pledge_request_data& in)
{
    rates_state& state = step.state;
    elect_winners(step);
    state.hosts.floor = std::max(state.hosts.floor, in.floor);
    note_epochs(step, from, in.epochs, true);
    if (in.index > state.hosts.known.index)
    {
        state.hosts.next_query_at = step.now;
        wire_rates::roster_query_data query;
        query.query = state.hosts.query;
        query.index = state.hosts.known.index;
        send_rates_message(step, from, query);
    }
    wire_rates::pledge_reply_data reply;
    reply.round = in.round;
    reply.index = state.hosts.known.index;
    reply.floor = state.hosts.floor;
    reply.parts =
        static_cast<std::uint32_t>(weight_parts(state.hosts, step.now));
    const duration left = contact_left(step);
    if (is_active(step) && !state.leaving && left > 0s &&
        in.index == state.hosts.known.index && reply.parts > 0 &&
        contains(state.hosts.known, from))
    {
        reply.shards = give_pledges(step, from, in);
        reply.term_us = to_microseconds(std::min(state.settings.term, left));
    }
    reply.confirmed = confirmed_index(step);
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        const heard_epoch& heard = state.pledges.heard[shard];
        if ((in.shards >> shard & 1U) != 0 && heard.epoch != 0)
        {
            reply.epochs.emplace_back(shard, heard.epoch, heard.generation);
        }
    }
    send_rates_message(step, from, std::move(reply));
}

void on_pledge_release(
    rates_step& step, host_id from, const wire_rates::pledge_release_data& in)
{
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        given_pledge& pledge = step.state.pledges.given[shard];
        const bool same_life =
            pledge.round >= in.first_round && pledge.round <= in.last_round;
        if ((in.shards >> shard & 1U) != 0 && pledge.to == from && same_life)
        {
            pledge.ends_at = std::min(pledge.ends_at, step.now);
        }
    }
}

} // namespace cyclamenhold
