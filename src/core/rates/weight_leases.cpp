#include "core/rates/weight_leases.hpp"

#include "core/rates/lease_terms.hpp"
#include "core/rates/rates_context.hpp"

#include <algorithm>
#include <set>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

constexpr duration quick_round_interval = 250ms;
constexpr std::size_t max_rounds = 16;
// Low bits of an epoch that are random; the others are wall clock milliseconds.
constexpr unsigned epoch_random_bits = 20;

std::vector<host_id> steward_candidates(const rates_context& context)
{
    const rates_state& state = context.state;
    const auto& members = context.inputs.members.members;
    std::vector<host_id> hosts;
    for (const auto& entry : state.hosts.known.members)
    {
        const auto found = members.find(entry.host);
        const bool self = entry.host == state.settings.self;
        const bool alive = found != members.end() &&
                           found->second.state == member_state::alive;
        if (self ? !state.leaving : alive)
        {
            hosts.push_back(entry.host);
        }
    }
    return hosts;
}

std::uint32_t own_shards(const rates_context& context)
{
    std::uint32_t shards = 0;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if (context.state.weight_leases.winners[shard] ==
            context.state.settings.self)
        {
            shards |= 1U << shard;
        }
    }
    return shards;
}

// Age limit of member reports. A member that has restarted stays inactive for a
// whole term, so a report younger than this is still valid.
duration report_lifetime(const rates_context& context)
{
    return context.state.settings.term * 3 / 5;
}

void raise_floor(rates_context& context)
{
    rates_state& state = context.state;
    roster_state& hosts = state.hosts;
    if (hosts.floor >= hosts.known.index)
    {
        return;
    }
    std::uint64_t lowest = hosts.known.index;
    for (const auto& entry : hosts.known.members)
    {
        const auto found = state.weight_leases.reports.find(entry.host);
        if (found == state.weight_leases.reports.end() ||
            context.now - found->second.requested_at > report_lifetime(context))
        {
            return;
        }
        lowest = std::min(lowest, found->second.confirmed);
    }
    if (lowest >= hosts.known.index)
    {
        hosts.floor = hosts.known.index;
        state.weight_leases.next_round_at = context.now;
    }
}

// All alive members lease these shards to this host, under the newest roster.
bool is_fully_leased(const rates_context& context, std::uint32_t shards)
{
    const rates_state& state = context.state;
    if (state.hosts.floor < state.hosts.known.index)
    {
        return false;
    }
    const std::size_t alive = steward_candidates(context).size();
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if ((shards >> shard & 1U) != 0 &&
            state.weight_leases.held[shard].weight_leases.size() < alive)
        {
            return false;
        }
    }
    return true;
}

void request_weight_leases(rates_context& context)
{
    rates_state& state = context.state;
    weight_lease_state& leases = state.weight_leases;
    const std::uint32_t shards = own_shards(context);
    if (context.now < leases.next_round_at || shards == 0 || state.leaving)
    {
        return;
    }
    leases.next_round_at = context.now + (is_fully_leased(context, shards)
                                              ? state.settings.term / 3
                                              : duration(quick_round_interval));
    leases.rounds.push_back({++leases.last_round, context.now});
    if (leases.rounds.size() > max_rounds)
    {
        leases.rounds.pop_front();
    }
    wire_rates::pledge_request_data request;
    request.round = leases.last_round;
    request.shards = shards;
    request.incarnation = context.inputs.members.self_incarnation;
    request.index = state.hosts.known.index;
    request.floor = state.hosts.floor;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        const auto lease = current_steward_lease(state, shard, context.now);
        if (lease.epoch != 0)
        {
            request.epochs.emplace_back(shard, lease.epoch, lease.generation);
        }
    }
    for (const host_id host : steward_candidates(context))
    {
        send_rates_message(context, host, request);
    }
}

// Ends a steward lease without a majority; starts or continues one with it.
void update_steward_lease(rates_context& context, std::uint32_t shard)
{
    rates_state& state = context.state;
    auto& lease = state.weight_leases.held[shard].lease;
    const steward_lease present =
        current_steward_lease(state, shard, context.now);
    if (present.epoch != 0)
    {
        if (context.now - lease.generation_since >= claim_generation_time)
        {
            ++lease.generation;
            lease.generation_since = context.now;
        }
        return;
    }
    lease = {};
    if (!has_majority(state, shard, context.now))
    {
        return;
    }
    const auto wall_ms = context.inputs.members.self_incarnation +
                         static_cast<std::uint64_t>(to_milliseconds(
                             context.now - state.hosts.started_at));
    observed_epoch& observed = state.weight_leases.observed[shard];
    const std::uint64_t time_based =
        (wall_ms << epoch_random_bits) |
        random_below(context.random, 1ULL << epoch_random_bits);
    lease.epoch = std::max(observed.epoch + 1, time_based);
    lease.generation = 1;
    lease.since = context.now;
    lease.generation_since = context.now;
    observed = {lease.epoch, lease.generation, state.settings.self};
    state.weight_leases.next_round_at = context.now;
    context.actions.events.push_back(
        {event_kind::steward_changed,
         {},
         {},
         state.settings.self,
         "steward of shard " + std::to_string(shard)});
}

void drop_expired_leases(rates_context& context, std::uint32_t shard)
{
    auto& held = context.state.weight_leases.held[shard];
    refill_shard(context, shard);
    std::erase_if(
        held.weight_leases,
        [&context](const auto& entry)
        {
            return entry.second.valid_until <= context.now;
        });
    for (auto& [workspace, bucket] : held.buckets)
    {
        expire_loans(
            bucket, context.now + context.state.settings.loan_term / 4,
            context.now);
    }
    update_steward_lease(context, shard);
}

} // namespace

void update_winners(rates_context& context)
{
    weight_lease_state& leases = context.state.weight_leases;
    const std::uint64_t version =
        context.inputs.members.version * 2 + (context.state.leaving ? 1 : 0);
    if (leases.winners_version == version + 1 &&
        leases.winners_index == context.state.hosts.known.index)
    {
        return;
    }
    leases.winners_version = version + 1;
    leases.winners_index = context.state.hosts.known.index;
    const auto hosts = steward_candidates(context);
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        leases.winners[shard] = rendezvous_winner(shard, hosts);
    }
    leases.next_round_at = std::min(leases.next_round_at, context.now);
}

bool has_majority(const rates_state& state, std::uint32_t shard, time_point now)
{
    std::size_t valid = 0;
    for (const auto& [host, weight_lease] :
         state.weight_leases.held[shard].weight_leases)
    {
        valid +=
            weight_lease.valid_until > now && contains(state.hosts.known, host);
    }
    const std::size_t parts = weight_parts(state.hosts, now);
    return parts > 0 && valid >= majority_of(parts);
}

steward_lease current_steward_lease(
    const rates_state& state, std::uint32_t shard, time_point now)
{
    if (!has_majority(state, shard, now))
    {
        return {};
    }
    return state.weight_leases.held[shard].lease;
}

double held_weight(const stewardship& held, time_point until)
{
    double weight = 0.0;
    for (const auto& [host, weight_lease] : held.weight_leases)
    {
        if (weight_lease.valid_until > until)
        {
            weight += 1.0 / weight_lease.parts;
        }
    }
    return std::min(weight, 1.0);
}

bool is_lender(const stewardship& held, time_point now)
{
    return std::ranges::any_of(
        held.weight_leases,
        [now](const auto& entry)
        {
            return entry.second.valid_until > now;
        });
}

lending_limits limits_of(
    const rates_context& context, std::uint32_t shard, workspace_id workspace)
{
    const rates_state& state = context.state;
    const auto found = state.workspaces.find(workspace);
    if (found == state.workspaces.end())
    {
        return {};
    }
    const auto& held = state.weight_leases.held[shard];
    const auto& settings = found->second;
    const time_point end =
        context.now + grantor_term(state.settings.data_centre_loan_term);
    const double present = state.share * held_weight(held, context.now);
    const double later = state.share * held_weight(held, end);
    return {
        settings.rate * present, settings.burst * present,
        settings.burst * later};
}

void refill_shard(rates_context& context, std::uint32_t shard)
{
    for (auto& [workspace, bucket] :
         context.state.weight_leases.held[shard].buckets)
    {
        refill_lender(
            bucket, limits_of(context, shard, workspace), context.now);
    }
}

void tick_weight_leases(rates_context& context)
{
    update_winners(context);
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if (!context.state.weight_leases.held[shard].weight_leases.empty())
        {
            drop_expired_leases(context, shard);
        }
    }
    raise_floor(context);
    request_weight_leases(context);
}

void on_weight_lease_reply(
    rates_context& context, host_id from,
    const wire_rates::pledge_reply_data& in)
{
    rates_state& state = context.state;
    weight_lease_state& leases = state.weight_leases;
    state.hosts.floor = std::max(state.hosts.floor, in.floor);
    record_epochs(context, from, in.epochs, false);
    const auto round =
        std::ranges::find(leases.rounds, in.round, &weight_lease_round::round);
    if (round == leases.rounds.end() || !contains(state.hosts.known, from))
    {
        return;
    }
    member_report& report = leases.reports[from];
    if (round->requested_at >= report.requested_at)
    {
        report = {in.confirmed, round->requested_at};
    }
    if (in.index > state.hosts.known.index)
    {
        wire_rates::roster_query_data query;
        query.query = state.hosts.query;
        query.index = state.hosts.known.index;
        send_rates_message(context, from, query);
    }
    const time_point valid_until =
        round->requested_at +
        std::min(state.settings.term, from_microseconds(in.term_us));
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if ((in.shards >> shard & 1U) == 0 || in.parts == 0 ||
            valid_until <= context.now)
        {
            continue;
        }
        drop_expired_leases(context, shard);
        held_weight_lease& held = leases.held[shard].weight_leases[from];
        if (valid_until > held.valid_until)
        {
            held = {in.parts, in.index, valid_until};
        }
        update_steward_lease(context, shard);
    }
}

void release_weight_leases(rates_context& context)
{
    rates_state& state = context.state;
    weight_lease_state& leases = state.weight_leases;
    wire_rates::pledge_release_data release;
    release.first_round = leases.first_round;
    release.last_round = leases.last_round;
    std::set<host_id> grantors;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        stewardship& held = leases.held[shard];
        const bool is_lent = std::ranges::any_of(
            held.buckets,
            [](const auto& entry)
            {
                return !entry.second.loans.empty();
            });
        if (is_lent || held.weight_leases.empty())
        {
            continue;
        }
        release.shards |= 1U << shard;
        for (const auto& [host, weight_lease] : held.weight_leases)
        {
            grantors.insert(host);
        }
        held = {};
    }
    // Replies that arrive later match no round and are ignored.
    leases.rounds.clear();
    for (const host_id host : grantors)
    {
        send_rates_message(context, host, release);
    }
}

} // namespace cyclamenhold
