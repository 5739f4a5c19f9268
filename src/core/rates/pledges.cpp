#include "core/rates/pledges.hpp"

#include "core/rates/step.hpp"
#include "core/rates/terms.hpp"

#include <algorithm>
#include <set>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

constexpr duration quick_round_interval = 250ms;
constexpr std::size_t rounds_kept = 16;
// The low bits of an epoch are random, the others come from the wall clock.
constexpr unsigned epoch_random_bits = 20;

std::vector<host_id> candidates(const rates_step& step)
{
    const rates_state& state = step.state;
    const auto& members = step.inputs.members.members;
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

std::uint32_t own_shards(const rates_step& step)
{
    std::uint32_t shards = 0;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if (step.state.pledges.winners[shard] == step.state.settings.self)
        {
            shards |= 1U << shard;
        }
    }
    return shards;
}

// Reports older than this say nothing about a member that was restarted
// since: it stays inactive for a whole term.
duration report_time(const rates_step& step)
{
    return step.state.settings.term * 3 / 5;
}

void raise_floor(rates_step& step)
{
    rates_state& state = step.state;
    roster_state& hosts = state.hosts;
    if (hosts.floor >= hosts.known.index)
    {
        return;
    }
    std::uint64_t lowest = hosts.known.index;
    for (const auto& entry : hosts.known.members)
    {
        const auto found = state.pledges.reports.find(entry.host);
        if (found == state.pledges.reports.end() ||
            step.now - found->second.asked_at > report_time(step))
        {
            return;
        }
        lowest = std::min(lowest, found->second.confirmed);
    }
    if (lowest >= hosts.known.index)
    {
        hosts.floor = hosts.known.index;
        state.pledges.next_round_at = step.now;
    }
}

// All that are alive have pledged, and under the newest roster.
bool settled(const rates_step& step, std::uint32_t shards)
{
    const rates_state& state = step.state;
    if (state.hosts.floor < state.hosts.known.index)
    {
        return false;
    }
    const std::size_t alive = candidates(step).size();
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if ((shards >> shard & 1U) != 0 &&
            state.pledges.held[shard].pledges.size() < alive)
        {
            return false;
        }
    }
    return true;
}

void ask_for_pledges(rates_step& step)
{
    rates_state& state = step.state;
    pledge_state& pledges = state.pledges;
    const std::uint32_t shards = own_shards(step);
    if (step.now < pledges.next_round_at || shards == 0 || state.leaving)
    {
        return;
    }
    pledges.next_round_at =
        step.now + (settled(step, shards) ? state.settings.term / 3
                                          : duration(quick_round_interval));
    pledges.rounds.push_back({++pledges.last_round, step.now});
    if (pledges.rounds.size() > rounds_kept)
    {
        pledges.rounds.pop_front();
    }
    wire_rates::pledge_request_data request;
    request.round = pledges.last_round;
    request.shards = shards;
    request.incarnation = step.inputs.members.self_incarnation;
    request.index = state.hosts.known.index;
    request.floor = state.hosts.floor;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        const auto office = office_of(state, shard, step.now);
        if (office.epoch != 0)
        {
            request.epochs.emplace_back(shard, office.epoch, office.generation);
        }
    }
    for (const host_id host : candidates(step))
    {
        send_rates_message(step, host, request);
    }
}

// Ends an office whose majority has lapsed, begins one that has a majority.
void keep_office(rates_step& step, std::uint32_t shard)
{
    rates_state& state = step.state;
    auto& office = state.pledges.held[shard].office;
    const steward_office present = office_of(state, shard, step.now);
    if (present.epoch != 0)
    {
        if (step.now - office.generation_since >= claim_generation_time)
        {
            ++office.generation;
            office.generation_since = step.now;
        }
        return;
    }
    office = {};
    if (!has_majority(state, shard, step.now))
    {
        return;
    }
    const auto wall_ms = step.inputs.members.self_incarnation +
                         static_cast<std::uint64_t>(to_milliseconds(
                             step.now - state.hosts.started_at));
    heard_epoch& heard = state.pledges.heard[shard];
    const std::uint64_t timed =
        (wall_ms << epoch_random_bits) |
        random_below(step.random, 1ULL << epoch_random_bits);
    office.epoch = std::max(heard.epoch + 1, timed);
    office.generation = 1;
    office.since = step.now;
    office.generation_since = step.now;
    heard = {office.epoch, office.generation, state.settings.self};
    state.pledges.next_round_at = step.now;
    step.actions.events.push_back(
        {event_kind::steward_changed,
         {},
         {},
         state.settings.self,
         "steward of shard " + std::to_string(shard)});
}

void drop_lapsed(rates_step& step, std::uint32_t shard)
{
    auto& held = step.state.pledges.held[shard];
    refill_shard(step, shard);
    std::erase_if(
        held.pledges,
        [&step](const auto& entry)
        {
            return entry.second.valid_until <= step.now;
        });
    for (auto& [workspace, bucket] : held.buckets)
    {
        expire_loans(
            bucket, step.now + step.state.settings.loan_term / 4, step.now);
    }
    keep_office(step, shard);
}

} // namespace

void elect_winners(rates_step& step)
{
    pledge_state& pledges = step.state.pledges;
    const std::uint64_t version =
        step.inputs.members.version * 2 + (step.state.leaving ? 1 : 0);
    if (pledges.winners_version == version + 1 &&
        pledges.winners_index == step.state.hosts.known.index)
    {
        return;
    }
    pledges.winners_version = version + 1;
    pledges.winners_index = step.state.hosts.known.index;
    const auto hosts = candidates(step);
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        pledges.winners[shard] = rendezvous_winner(shard, hosts);
    }
    pledges.next_round_at = std::min(pledges.next_round_at, step.now);
}

bool has_majority(const rates_state& state, std::uint32_t shard, time_point now)
{
    std::size_t valid = 0;
    for (const auto& [host, pledge] : state.pledges.held[shard].pledges)
    {
        valid += pledge.valid_until > now && contains(state.hosts.known, host);
    }
    const std::size_t parts = weight_parts(state.hosts, now);
    return parts > 0 && valid >= majority_of(parts);
}

steward_office
office_of(const rates_state& state, std::uint32_t shard, time_point now)
{
    if (!has_majority(state, shard, now))
    {
        return {};
    }
    return state.pledges.held[shard].office;
}

double held_weight(const stewardship& held, time_point until)
{
    double weight = 0.0;
    for (const auto& [host, pledge] : held.pledges)
    {
        if (pledge.valid_until > until)
        {
            weight += 1.0 / pledge.parts;
        }
    }
    return std::min(weight, 1.0);
}

bool is_lender(const stewardship& held, time_point now)
{
    return std::ranges::any_of(
        held.pledges,
        [now](const auto& entry)
        {
            return entry.second.valid_until > now;
        });
}

lending_limits
limits_of(const rates_step& step, std::uint32_t shard, workspace_id workspace)
{
    const rates_state& state = step.state;
    const auto found = state.workspaces.find(workspace);
    if (found == state.workspaces.end())
    {
        return {};
    }
    const auto& held = state.pledges.held[shard];
    const auto& settings = found->second;
    const time_point end =
        step.now + giver_term(state.settings.data_centre_loan_term);
    const double present = state.share * held_weight(held, step.now);
    const double later = state.share * held_weight(held, end);
    return {
        settings.rate * present, settings.burst * present,
        settings.burst * later};
}

void refill_shard(rates_step& step, std::uint32_t shard)
{
    for (auto& [workspace, bucket] : step.state.pledges.held[shard].buckets)
    {
        refill_lender(bucket, limits_of(step, shard, workspace), step.now);
    }
}

void keep_pledges(rates_step& step)
{
    elect_winners(step);
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if (!step.state.pledges.held[shard].pledges.empty())
        {
            drop_lapsed(step, shard);
        }
    }
    raise_floor(step);
    ask_for_pledges(step);
}

void on_pledge_reply(
    rates_step& step, host_id from, const wire_rates::pledge_reply_data& in)
{
    rates_state& state = step.state;
    pledge_state& pledges = state.pledges;
    state.hosts.floor = std::max(state.hosts.floor, in.floor);
    note_epochs(step, from, in.epochs, false);
    const auto round =
        std::ranges::find(pledges.rounds, in.round, &pledge_round::round);
    if (round == pledges.rounds.end() || !contains(state.hosts.known, from))
    {
        return;
    }
    member_report& report = pledges.reports[from];
    if (round->asked_at >= report.asked_at)
    {
        report = {in.confirmed, round->asked_at};
    }
    if (in.index > state.hosts.known.index)
    {
        wire_rates::roster_query_data query;
        query.query = state.hosts.query;
        query.index = state.hosts.known.index;
        send_rates_message(step, from, query);
    }
    const time_point valid_until =
        round->asked_at +
        std::min(state.settings.term, from_microseconds(in.term_us));
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if ((in.shards >> shard & 1U) == 0 || in.parts == 0 ||
            valid_until <= step.now)
        {
            continue;
        }
        drop_lapsed(step, shard);
        held_pledge& held = pledges.held[shard].pledges[from];
        if (valid_until > held.valid_until)
        {
            held = {in.parts, in.index, valid_until};
        }
        keep_office(step, shard);
    }
}

void release_pledges(rates_step& step)
{
    rates_state& state = step.state;
    pledge_state& pledges = state.pledges;
    wire_rates::pledge_release_data release;
    release.first_round = pledges.first_round;
    release.last_round = pledges.last_round;
    std::set<host_id> givers;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        stewardship& held = pledges.held[shard];
        const bool lent = std::ranges::any_of(
            held.buckets,
            [](const auto& entry)
            {
                return !entry.second.loans.empty();
            });
        if (lent || held.pledges.empty())
        {
            continue;
        }
        release.shards |= 1U << shard;
        for (const auto& [host, pledge] : held.pledges)
        {
            givers.insert(host);
        }
        held = {};
    }
    // Replies that are still on their way are met by no round.
    pledges.rounds.clear();
    for (const host_id host : givers)
    {
        send_rates_message(step, host, release);
    }
}

} // namespace cyclamenhold
