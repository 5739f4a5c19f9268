#include "core/configuration/chain_peers.hpp"

#include "core/intent/configuration_json.hpp"
#include "core/membership/sending.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

using wire::configuration::message_body;

constexpr std::size_t local_peers_per_revision = 3;
// The expected number of messages that all nodes of a data centre together send
// to other data centres.
constexpr double remote_messages_per_revision = 24.0;
// Bytes; a change up to this size is sent with the advertised revision.
constexpr std::size_t max_change_in_datagram = 900;
constexpr std::size_t max_changes_message_size = 200'000;
constexpr duration pull_timeout = 1s;
// From each received part; a snapshot may have many.
constexpr duration snapshot_timeout = 5s;

void send(
    host_id to, const chain_message& message, transport via,
    control_actions& actions)
{
    if (to != host_id::none)
    {
        actions.messages.push_back(
            {to, message_kind::configuration, via, encode(message)});
    }
}

void send_pull(
    chain_state& state, host_id to, time_point now, control_actions& actions)
{
    chain_message message;
    message.kind = message_body::pull;
    message.revision = state.current->revision;
    state.pull = chain_pull{to, now + pull_timeout};
    state.peer_snapshot.reset();
    send(to, message, transport::stream, actions);
}

// A random member that has reported a newer revision.
host_id find_source(
    const chain_state& state, const membership_state& members,
    random_source& random)
{
    std::vector<host_id> ahead;
    for (const auto& [host, known] : members.members)
    {
        if (is_present(known.state) && known.revision > state.current->revision)
        {
            ahead.push_back(host);
        }
    }
    return pick_host(ahead, random);
}

void send_snapshot(
    const chain_state& state, host_id to, control_actions& actions)
{
    const auto parts = split_snapshot(to_json(*state.current));
    chain_message message;
    message.kind = message_body::snapshot_part;
    message.snapshot = {
        state.current->revision, state.chain_hash,
        static_cast<std::uint32_t>(parts.size())};
    for (const auto& part : parts)
    {
        message.bytes = part;
        send(to, message, transport::stream, actions);
        ++message.part;
    }
}

void answer_pull(
    const chain_state& state, host_id to, std::uint64_t after,
    control_actions& actions)
{
    if (after >= state.current->revision)
    {
        return;
    }
    if (state.recent.empty() || state.recent.front().revision > after + 1)
    {
        send_snapshot(state, to, actions);
        return;
    }
    chain_message message;
    message.kind = message_body::changes;
    std::size_t size = 0;
    for (const auto& change : state.recent)
    {
        if (change.revision <= after)
        {
            continue;
        }
        message.changes.push_back(change);
        size += change.operations.size();
        if (size >= max_changes_message_size)
        {
            send(to, message, transport::stream, actions);
            message.changes.clear();
            size = 0;
        }
    }
    if (!message.changes.empty())
    {
        send(to, message, transport::stream, actions);
    }
}

void handle_snapshot_part(
    chain_state& state, host_id from, const chain_message& message,
    time_point now, control_actions& actions)
{
    // Only parts that this node has pulled, which bounds its memory.
    if (!state.pull.has_value() || state.pull->from != from ||
        message.snapshot.revision <= state.current->revision)
    {
        return;
    }
    state.pull->expires_at = now + snapshot_timeout;
    auto& snapshot = state.peer_snapshot;
    if (!snapshot.has_value() ||
        snapshot->head.revision != message.snapshot.revision)
    {
        snapshot = incoming_snapshot{message.snapshot, from, {}};
        snapshot->parts.resize(message.snapshot.parts);
    }
    if (!add_snapshot_part(*snapshot, message.part, message.bytes))
    {
        return;
    }
    apply_snapshot(state, snapshot->head, join_parts(*snapshot), now, actions);
    state.peer_snapshot.reset();
    state.pull.reset();
}

void apply_changes(
    chain_state& state, const chain_message& message, time_point now,
    control_actions& actions)
{
    for (const auto& change : message.changes)
    {
        apply_change(state, change, now, actions);
    }
}

} // namespace

void advertise_revision(
    chain_state& state, const membership_state& members, random_source& random,
    control_actions& actions)
{
    if (state.advertised_revision >= state.current->revision)
    {
        return;
    }
    state.advertised_revision = state.current->revision;
    chain_message message;
    message.revision = state.current->revision;
    if (!state.recent.empty() &&
        state.recent.back().operations.size() <= max_change_in_datagram)
    {
        message.changes.push_back(state.recent.back());
    }
    const auto& local = members.targets.local;
    for (std::size_t sent = 0; sent < local_peers_per_revision; ++sent)
    {
        send(pick_host(local, random), message, transport::datagram, actions);
    }
    const double remote_probability =
        remote_messages_per_revision / static_cast<double>(local.size() + 1);
    if (random_fraction(random) < remote_probability)
    {
        send(
            pick_remote_host(members, random), message, transport::datagram,
            actions);
    }
}

void pull_if_behind(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions)
{
    const bool waiting = state.pull.has_value() && now < state.pull->expires_at;
    const bool is_behind = members.highest_revision > state.current->revision;
    if (waiting || !is_behind)
    {
        return;
    }
    // After a failed pull, tries another peer.
    const bool failed_before = state.pull.has_value();
    const host_id source = failed_before ? find_source(state, members, random)
                                         : members.highest_revision_host;
    if (source == host_id::none)
    {
        state.pull = chain_pull{host_id::none, now + pull_timeout};
        return;
    }
    send_pull(state, source, now, actions);
}

void handle_chain_message(
    chain_state& state, const membership_state& members, host_id from,
    const chain_message& message, time_point now, random_source& random,
    control_actions& actions)
{
    switch (message.kind)
    {
    case message_body::head:
        apply_changes(state, message, now, actions);
        if (message.revision > state.current->revision &&
            (!state.pull.has_value() || now >= state.pull->expires_at))
        {
            send_pull(state, from, now, actions);
        }
        break;
    case message_body::pull:
        answer_pull(state, from, message.revision, actions);
        break;
    case message_body::changes:
        apply_changes(state, message, now, actions);
        if (state.pull.has_value() && state.pull->from == from)
        {
            state.pull.reset();
        }
        break;
    case message_body::snapshot_part:
        handle_snapshot_part(state, from, message, now, actions);
        break;
    case message_body::NONE:
        break;
    }
    advertise_revision(state, members, random, actions);
}

} // namespace cyclamenhold
