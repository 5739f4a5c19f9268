#include "core/membership/membership.hpp"

#include "core/membership/digests.hpp"
#include "core/membership/member_table.hpp"
#include "core/membership/probing.hpp"
#include "core/membership/seeds.hpp"
#include "core/membership/sending.hpp"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

using wire::membership::message_body;

// A tick later than this means that the process was paused.
constexpr duration pause_threshold = 1s;
constexpr duration cleanup_interval = 30s;

// A node that was paused must not take its own silence for that of others.
void recover_from_pause(membership_state& state, time_point now)
{
    const duration gap = now - state.last_tick;
    if (gap <= pause_threshold)
    {
        return;
    }
    state.active_probe.reset();
    for (auto& [host, deadline] : state.suspects)
    {
        deadline += gap;
    }
    for (auto& [id, link] : state.data_centres)
    {
        link.heard_at += gap;
    }
}

void refill_gossip_budget(membership_state& state, time_point now)
{
    const double rate = state.settings.gossip_bytes_per_second;
    state.gossip_bytes = std::min(
        2.0 * rate,
        state.gossip_bytes + rate * to_seconds(now - state.last_tick));
}

// Notes which data centres are cut off.
void judge_data_centres(membership_state& state, time_point now)
{
    for (auto& [id, link] : state.data_centres)
    {
        const bool reachable =
            now - link.heard_at <= state.settings.data_centre_timeout;
        if (reachable != link.reachable)
        {
            link.reachable = reachable;
            ++state.version;
        }
    }
}

void take_contacts(
    membership_state& state, const membership_message& message, time_point now)
{
    for (const auto& contact : message.contacts)
    {
        const time_point heard_at =
            now - std::chrono::milliseconds(contact.age_ms);
        if (contact.data_centre == data_centre_id::none)
        {
            state.platform_read_at = std::max(state.platform_read_at, heard_at);
            continue;
        }
        if (contact.data_centre == state.settings.data_centre)
        {
            continue;
        }
        const auto found = state.data_centres.find(contact.data_centre);
        if (found != state.data_centres.end())
        {
            found->second.heard_at = std::max(found->second.heard_at, heard_at);
        }
    }
}

void take_news(
    membership_state& state, const membership_message& message, time_point now,
    control_actions& actions)
{
    for (const auto& news : message.news)
    {
        if (news.whole_record)
        {
            merge_record(state, news.claim, news.upstream, now, actions);
        }
        else
        {
            merge_claim(state, news.claim, now, actions);
        }
    }
}

// Tells a sender that is held to be dead, or to have a newer life, so that it
// can refute it or raise its incarnation.
void correct_sender(
    membership_state& state, const member& known,
    const membership_message& message, time_point now, control_actions& actions)
{
    const bool agrees =
        known.host_incarnation == message.sender.host_incarnation &&
        known.refutation == message.sender.refutation &&
        known.state == message.sender.state;
    if (agrees)
    {
        return;
    }
    auto correction = make_message(state, message_body::gossip, now);
    correction.news.push_back({claim_of(known), {}, false});
    send_message(known.host, correction, transport::datagram, actions);
}

// Takes in what the sender says about itself, and asks for what is missing.
void take_sender(
    membership_state& state, const membership_message& message, time_point now,
    control_actions& actions)
{
    merge_claim(state, message.sender, now, actions);
    note_heard(state, message.sender.host, message.revision, now);
    const auto found = state.members.find(message.sender.host);
    if (found == state.members.end())
    {
        return;
    }
    correct_sender(state, found->second, message, now, actions);
    const bool behind =
        found->second.host_incarnation == message.sender.host_incarnation &&
        found->second.upstream.version < message.sender_upstream_version;
    // A record among the news settles it.
    const bool told = std::ranges::any_of(
        message.news,
        [&](const member_news& news)
        {
            return news.whole_record && news.claim.host == message.sender.host;
        });
    if (behind && !told && message.kind != message_body::digest)
    {
        send_digest(state, message.sender.host, false, now, actions);
    }
}

void take_body(
    membership_state& state, const membership_message& message, time_point now,
    control_actions& actions)
{
    const host_id from = message.sender.host;
    switch (message.kind)
    {
    case message_body::ping:
        answer_ping(state, from, message.sequence, now, actions);
        return;
    case message_body::ping_request:
        relay_ping(state, from, message.sequence, message.target, now, actions);
        return;
    case message_body::ack:
        take_ack(state, message.sequence, now, actions);
        return;
    case message_body::digest:
        answer_digest(state, from, message, now, actions);
        return;
    case message_body::gossip:
    case message_body::NONE:
        return;
    }
}

void report_bad_input(host_id from, control_actions& actions)
{
    event happened;
    happened.kind = event_kind::bad_input;
    happened.peer = from;
    happened.detail = "membership message";
    actions.events.push_back(std::move(happened));
}

bool is_acceptable(
    const incoming_message& incoming, const membership_message& message)
{
    return message.sender.host == incoming.from &&
           (message.kind != message_body::digest ||
            message.buckets.size() == digest_bucket_count);
}

std::uint64_t rank_of(std::string_view salt, host_id host)
{
    return XXH3_64bits_withSeed(
        salt.data(), salt.size(), static_cast<std::uint64_t>(host));
}

} // namespace

void membership_start(
    membership_state& state, const membership_settings& settings,
    incarnation self, time_point now, random_source& random,
    control_actions& actions)
{
    state.settings = settings;
    // Zero stands for "unknown" in messages.
    state.self_incarnation = std::max<incarnation>(self, 1);
    state.last_tick = now;
    state.gossip_bytes = settings.gossip_bytes_per_second;
    // Nodes that start together do not probe in step.
    const auto spread = [&](duration interval)
    {
        return now +
               from_seconds(to_seconds(interval) * random_fraction(random));
    };
    state.timers.probe = spread(settings.probe_interval);
    state.timers.gossip = now;
    state.timers.far_probe = spread(settings.far_probe_interval);
    state.timers.digest = spread(settings.digest_interval);
    state.timers.dead_probe = spread(settings.dead_probe_interval);
    state.timers.cleanup = now + cleanup_interval;
    start_seeds(state, now, random, actions);
}

void membership_tick(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    recover_from_pause(state, now);
    refill_gossip_budget(state, now);
    state.last_tick = now;
    expire_suspects(state, now, actions);
    advance_probes(state, now, random, actions);
    if (now >= state.timers.gossip)
    {
        state.timers.gossip = now + state.settings.gossip_interval;
        gossip_round(state, now, random, actions);
    }
    advance_digests(state, now, random, actions);
    advance_seeds(state, now, random, actions);
    judge_data_centres(state, now);
    if (now >= state.timers.cleanup)
    {
        state.timers.cleanup = now + cleanup_interval;
        forget_tombstones(state, now);
    }
}

void membership_on_message(
    membership_state& state, const incoming_message& message, time_point now,
    random_source& /*random*/, control_actions& actions)
{
    const auto decoded = decode_membership_message(message.payload);
    if (!decoded.has_value() || !is_acceptable(message, *decoded))
    {
        report_bad_input(message.from, actions);
        return;
    }
    if (message.from == state.settings.self)
    {
        return;
    }
    take_sender(state, *decoded, now, actions);
    take_contacts(state, *decoded, now);
    take_news(state, *decoded, now, actions);
    take_body(state, *decoded, now, actions);
}

void membership_on_platform_reply(
    membership_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    take_seed_reply(state, reply, now, random, actions);
}

time_point membership_due(const membership_state& state)
{
    time_point due = probes_due(state);
    if (!state.news.empty())
    {
        due = std::min(due, state.timers.gossip);
    }
    return due;
}

void membership_set_upstream(
    membership_state& state, const upstream_record& record, time_point now,
    random_source& random, control_actions& actions)
{
    const std::uint64_t version = state.local_upstream.version + 1;
    state.local_upstream = record;
    state.local_upstream.version = version;
    ++state.version;
    queue_news(state, state.settings.self, true);
    push_news(state, now, random, actions);
}

void membership_leave(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    state.leaving = true;
    ++state.version;
    queue_news(state, state.settings.self, true);
    push_news(state, now, random, actions);
    drop_seed(state, actions);
}

std::vector<upstream_location>
membership_upstreams(const membership_state& state)
{
    std::vector<upstream_location> locations;
    if (state.local_upstream.state != upstream_state::absent)
    {
        locations.push_back(
            {state.settings.self, state.self_incarnation,
             state.settings.data_centre, state.local_upstream});
    }
    for (const auto& [host, known] : state.members)
    {
        const auto link = state.data_centres.find(known.data_centre);
        const bool cut_off =
            link != state.data_centres.end() && !link->second.reachable;
        if (known.state == member_state::alive && !cut_off &&
            known.upstream.state != upstream_state::absent)
        {
            locations.push_back(
                {host, known.host_incarnation, known.data_centre,
                 known.upstream});
        }
    }
    return locations;
}

std::vector<host_id> chosen_members(
    const membership_state& state, std::string_view salt, std::size_t count)
{
    struct candidate
    {
        std::uint64_t rank = 0;
        host_id host = host_id::none;
        bool operator<(const candidate& other) const
        {
            return std::tie(rank, host) < std::tie(other.rank, other.host);
        }
    };
    std::vector<candidate> candidates;
    if (!state.leaving)
    {
        candidates.push_back(
            {rank_of(salt, state.settings.self), state.settings.self});
    }
    for (const host_id host : state.targets.local)
    {
        candidates.push_back({rank_of(salt, host), host});
    }
    const auto kept = std::min(count, candidates.size());
    std::partial_sort(
        candidates.begin(),
        candidates.begin() + static_cast<std::ptrdiff_t>(kept),
        candidates.end());
    std::vector<host_id> hosts;
    for (std::size_t place = 0; place < kept; ++place)
    {
        hosts.push_back(candidates[place].host);
    }
    return hosts;
}

bool is_chosen_member(
    const membership_state& state, std::string_view salt, std::size_t count)
{
    const auto hosts = chosen_members(state, salt, count);
    return std::ranges::find(hosts, state.settings.self) != hosts.end();
}

} // namespace cyclamenhold
