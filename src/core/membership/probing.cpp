#include "core/membership/probing.hpp"

#include "core/membership/sending.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

using wire::membership::message_body;

// Timeout of a relayed probe.
constexpr duration relay_timeout = 2s;
// An ack to an older probe reports no contacts.
constexpr duration sent_probe_retention = 2s;

// Returns the next member to probe: each member once per turn, in random order.
host_id next_target(membership_state& state, random_source& random)
{
    for (int turn = 0; turn < 2; ++turn)
    {
        while (!state.probe_order.empty())
        {
            const host_id host = state.probe_order.back();
            state.probe_order.pop_back();
            const auto found = state.members.find(host);
            if (found != state.members.end() && is_present(found->second.state))
            {
                return host;
            }
        }
        state.probe_order = state.targets.local;
        std::shuffle(
            state.probe_order.begin(), state.probe_order.end(), random);
    }
    return host_id::none;
}

void start_probe(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    const host_id target = next_target(state, random);
    if (target == host_id::none)
    {
        return;
    }
    const std::uint64_t sequence = state.next_sequence++;
    // Just before the next probe starts.
    const time_point fails_at = now + state.settings.probe_interval - 1ms;
    state.active_probe = probe{
        target, sequence, now + state.settings.probe_timeout, fails_at, false};
    send_ping(state, target, sequence, now, actions);
}

void send_ping_requests(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    probe& active = *state.active_probe;
    active.indirect_sent = true;
    std::vector<host_id> helpers;
    const std::uint32_t wanted = state.settings.indirect_probes;
    const std::uint32_t draws = 4 * wanted;
    for (std::uint32_t draw = 0; draw < draws && helpers.size() < wanted;
         ++draw)
    {
        // The second half of the draws is from other data centres, for a data
        // centre with too few members.
        const host_id helper = draw < 2 * wanted
                                   ? pick_host(state.targets.local, random)
                                   : pick_remote_host(state, random);
        if (helper != host_id::none && helper != active.target &&
            std::ranges::find(helpers, helper) == helpers.end())
        {
            helpers.push_back(helper);
        }
    }
    for (const host_id helper : helpers)
    {
        auto message = make_message(state, message_body::ping_request, now);
        message.sequence = active.sequence;
        message.target = active.target;
        send_with_updates(state, helper, std::move(message), actions);
    }
}

void fail_probe(
    membership_state& state, time_point now, control_actions& actions)
{
    const host_id target = state.active_probe->target;
    state.active_probe.reset();
    const auto found = state.members.find(target);
    if (found == state.members.end() ||
        found->second.state != member_state::alive)
    {
        return;
    }
    member_status_report report = report_of(found->second);
    report.state = member_state::suspect;
    merge_report(state, report, now, actions);
}

void tick_active_probe(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    if (!state.active_probe.has_value())
    {
        return;
    }
    if (now >= state.active_probe->fails_at)
    {
        fail_probe(state, now, actions);
        return;
    }
    if (now >= state.active_probe->indirect_at &&
        !state.active_probe->indirect_sent)
    {
        send_ping_requests(state, now, random, actions);
    }
}

} // namespace

void send_ping(
    membership_state& state, host_id target, std::uint64_t sequence,
    time_point now, control_actions& actions)
{
    auto message = make_message(state, message_body::ping, now);
    message.sequence = sequence;
    state.sent_probes[sequence] = now;
    if (const auto found = state.members.find(target);
        found != state.members.end())
    {
        add_report_to_refute(found->second, message);
    }
    send_with_updates(state, target, std::move(message), actions);
}

void tick_probes(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    tick_active_probe(state, now, random, actions);
    refresh_targets(state);
    if (now >= state.timers.probe)
    {
        state.timers.probe = now + state.settings.probe_interval;
        start_probe(state, now, random, actions);
    }
    if (now >= state.timers.remote_probe)
    {
        state.timers.remote_probe = now + state.settings.remote_probe_interval;
        if (const host_id target = pick_remote_host(state, random);
            target != host_id::none)
        {
            send_ping(state, target, state.next_sequence++, now, actions);
        }
    }
    if (now >= state.timers.dead_probe)
    {
        state.timers.dead_probe = now + state.settings.dead_probe_interval;
        if (const host_id target = pick_host(state.targets.local_dead, random);
            target != host_id::none)
        {
            send_ping(state, target, state.next_sequence++, now, actions);
        }
    }
    std::erase_if(
        state.relays,
        [now](const auto& item)
        {
            return item.second.expires_at <= now;
        });
    std::erase_if(
        state.sent_probes,
        [now](const auto& item)
        {
            return item.second + sent_probe_retention <= now;
        });
}

time_point probes_due(const membership_state& state)
{
    time_point due = std::min(state.timers.probe, state.timers.remote_probe);
    if (state.active_probe.has_value())
    {
        const probe& active = *state.active_probe;
        due = std::min(
            due, active.indirect_sent ? active.fails_at : active.indirect_at);
    }
    return due;
}

void answer_ping(
    membership_state& state, host_id from, std::uint64_t sequence,
    time_point now, control_actions& actions)
{
    auto message = make_message(state, message_body::ack, now);
    message.sequence = sequence;
    send_with_updates(state, from, std::move(message), actions);
}

void relay_ping(
    membership_state& state, host_id origin, std::uint64_t sequence,
    host_id target, time_point now, control_actions& actions)
{
    const std::uint64_t own_sequence = state.next_sequence++;
    state.relays[own_sequence] = {origin, sequence, now + relay_timeout};
    send_ping(state, target, own_sequence, now, actions);
}

void handle_ack(
    membership_state& state, std::uint64_t sequence, time_point now,
    control_actions& actions)
{
    if (const auto relay = state.relays.find(sequence);
        relay != state.relays.end())
    {
        auto message = make_message(state, message_body::ack, now);
        message.sequence = relay->second.origin_sequence;
        send_with_updates(
            state, relay->second.origin, std::move(message), actions);
        state.relays.erase(relay);
        return;
    }
    // An ack relayed by a helper has the sequence of the probe too.
    if (state.active_probe.has_value() &&
        state.active_probe->sequence == sequence)
    {
        state.active_probe.reset();
    }
}

} // namespace cyclamenhold
