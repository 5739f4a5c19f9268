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

// A longer gap between ticks means that the process was paused.
constexpr duration pause_threshold = 1s;
constexpr duration cleanup_interval = 30s;

// After a pause of this process, cancels the probe in progress and extends
// deadlines by the length of the pause, so that messages missed during the
// pause do not count as failures of other members.
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
        link.last_contact_at += gap;
    }
}

void refill_gossip_budget(membership_state& state, time_point now)
{
    const double rate = state.settings.gossip_bytes_per_second;
    state.gossip_budget_bytes = std::min(
        2.0 * rate,
        state.gossip_budget_bytes + rate * to_seconds(now - state.last_tick));
}

// Updates which data centres are reachable.
void update_reachability(membership_state& state, time_point now)
{
    for (auto& [id, link] : state.data_centres)
    {
        const bool reachable =
            now - link.last_contact_at <= state.settings.data_centre_timeout;
        if (reachable != link.reachable)
        {
            link.reachable = reachable;
            ++state.version;
        }
    }
}

// Merges the contacts of an ack. Their ages count from the time at which its
// probe was sent, not from its arrival: a message may wait in a socket while
// this process or the link stands still.
void merge_contacts(membership_state& state, const membership_message& message)
{
    const auto probe = state.sent_probes.find(message.sequence);
    if (message.kind != message_body::ack || probe == state.sent_probes.end())
    {
        return;
    }
    for (const auto& contact : message.contacts)
    {
        const time_point last_contact_at =
            probe->second - std::chrono::milliseconds(contact.age_ms);
        if (contact.data_centre == data_centre_id::none)
        {
            state.platform_read_at =
                std::max(state.platform_read_at, last_contact_at);
            continue;
        }
        if (contact.data_centre == state.settings.data_centre)
        {
            continue;
        }
        const auto found = state.data_centres.find(contact.data_centre);
        if (found != state.data_centres.end())
        {
            found->second.last_contact_at =
                std::max(found->second.last_contact_at, last_contact_at);
        }
    }
}

void merge_updates(
    membership_state& state, const membership_message& message, time_point now,
    control_actions& actions)
{
    for (const auto& update : message.updates)
    {
        if (update.includes_upstream)
        {
            merge_record(state, update.report, update.upstream, now, actions);
        }
        else
        {
            merge_report(state, update.report, now, actions);
        }
    }
}

// Sends this node's entry to a sender whose report of itself differs, for
// example one recorded as dead or with a newer incarnation, so that the sender
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
    correction.updates.push_back({report_of(known), {}, false});
    send_message(known.host, correction, transport::datagram, actions);
}

// Merges the sender's report of itself. Requests its record by a digest if this
// node has an older version of its upstream.
void handle_sender(
    membership_state& state, const membership_message& message, time_point now,
    control_actions& actions)
{
    merge_report(state, message.sender, now, actions);
    record_contact(state, message.sender.host, message.revision, now);
    const auto found = state.members.find(message.sender.host);
    if (found == state.members.end())
    {
        return;
    }
    correct_sender(state, found->second, message, now, actions);
    const bool behind =
        found->second.host_incarnation == message.sender.host_incarnation &&
        found->second.upstream.version < message.sender_upstream_version;
    // A record of the sender in the same message contains the upstream.
    const bool has_record = std::ranges::any_of(
        message.updates,
        [&](const member_update& update)
        {
            return update.includes_upstream &&
                   update.report.host == message.sender.host;
        });
    if (behind && !has_record && message.kind != message_body::digest)
    {
        send_digest(state, message.sender.host, false, now, actions);
    }
}

void handle_body(
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
        handle_ack(state, message.sequence, now, actions);
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
    event new_event;
    new_event.kind = event_kind::bad_input;
    new_event.peer = from;
    new_event.detail = "membership message";
    actions.events.push_back(std::move(new_event));
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
    // Zero means "unknown" in messages.
    state.self_incarnation = std::max<incarnation>(self, 1);
    state.started_at = now;
    state.last_tick = now;
    // An ack to a probe of an earlier process must match none of this one.
    state.next_sequence = random();
    state.gossip_budget_bytes = settings.gossip_bytes_per_second;
    // Random phases, so that nodes that start together do not probe at the same
    // times.
    const auto spread = [&](duration interval)
    {
        return now +
               from_seconds(to_seconds(interval) * random_fraction(random));
    };
    state.timers.probe = spread(settings.probe_interval);
    state.timers.gossip = now;
    state.timers.remote_probe = spread(settings.remote_probe_interval);
    state.timers.digest = now + next_digest_delay(state, now, random);
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
    tick_probes(state, now, random, actions);
    if (now >= state.timers.gossip)
    {
        state.timers.gossip = now + state.settings.gossip_interval;
        gossip_round(state, now, random, actions);
    }
    tick_digests(state, now, random, actions);
    tick_seeds(state, now, random, actions);
    update_reachability(state, now);
    if (now >= state.timers.cleanup)
    {
        state.timers.cleanup = now + cleanup_interval;
        expire_tombstones(state, now);
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
    handle_sender(state, *decoded, now, actions);
    if (is_newer(decoded->evacuations, state.received_evacuations))
    {
        state.received_evacuations = decoded->evacuations;
    }
    merge_contacts(state, *decoded);
    merge_updates(state, *decoded, now, actions);
    handle_body(state, *decoded, now, actions);
}

void membership_on_platform_reply(
    membership_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    handle_seed_reply(state, reply, now, random, actions);
}

void membership_ping(
    membership_state& state, host_id host, time_point now,
    control_actions& actions)
{
    send_ping(state, host, state.next_sequence++, now, actions);
}

void membership_notify(
    membership_state& state, host_id host, time_point now,
    control_actions& actions)
{
    send_message(
        host, make_message(state, message_body::gossip, now),
        transport::datagram, actions);
}

void membership_begin_era(
    membership_state& state, time_point now, random_source& random)
{
    restart_seeds(state, now, random);
}

time_point membership_due(const membership_state& state)
{
    time_point due = probes_due(state);
    if (!state.updates.empty())
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
    queue_update(state, state.settings.self, true);
    push_updates(state, now, random, actions);
}

void membership_leave(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    state.leaving = true;
    ++state.version;
    queue_update(state, state.settings.self, true);
    push_updates(state, now, random, actions);
    revoke_seed_entry(state, actions);
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

std::vector<host_id> rendezvous_members(
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

bool is_rendezvous_member(
    const membership_state& state, std::string_view salt, std::size_t count)
{
    const auto hosts = rendezvous_members(state, salt, count);
    return std::ranges::find(hosts, state.settings.self) != hosts.end();
}

} // namespace cyclamenhold
