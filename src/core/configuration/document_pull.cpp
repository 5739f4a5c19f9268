#include "core/configuration/document_pull.hpp"

#include "core/configuration/chain_apply.hpp"
#include "core/configuration/document_apply.hpp"

namespace cyclamenhold
{
namespace
{

using wire::configuration::message_body;

// A pull starts only this long after a peer has reported a newer version, since
// the node's own watch usually returns it first.
constexpr duration pull_delay = 250ms;
constexpr duration pull_timeout = 700ms;
// Bounds the memory that a peer's snapshot can use.
constexpr std::uint32_t max_snapshot_parts = 1'000;

void send(host_id to, const chain_message& message, control_actions& actions)
{
    actions.messages.push_back(
        {to, message_kind::configuration, transport::stream, encode(message)});
}

} // namespace

void pull_if_behind(
    document_state& state, const chain_state& chain,
    const membership_state& members, time_point now, control_actions& actions)
{
    if (members.highest_revision <= chain.current->revision ||
        members.highest_revision_host == host_id::none)
    {
        state.behind_since = {};
        return;
    }
    if (state.behind_since == time_point{})
    {
        state.behind_since = now;
    }
    const bool is_follower = !state.watchers.is_watcher;
    const duration delay = is_follower ? duration::zero() : pull_delay;
    if (now < state.behind_since + delay || now < state.pull.expires_at)
    {
        return;
    }
    state.pull = {members.highest_revision_host, now + pull_timeout};
    state.incoming = {};
    chain_message message;
    message.kind = message_body::pull;
    message.revision = chain.current->revision;
    send(state.pull.from, message, actions);
}

void answer_pull(
    const document_state& state, const chain_state& chain, host_id to,
    std::uint64_t after, control_actions& actions)
{
    if (chain.current->revision <= after || state.text.empty())
    {
        return;
    }
    const auto parts = split_snapshot(state.text);
    chain_message message;
    message.kind = message_body::snapshot_part;
    message.snapshot = {
        chain.current->revision, 0, static_cast<std::uint32_t>(parts.size())};
    for (const auto& part : parts)
    {
        message.bytes = part;
        send(to, message, actions);
        ++message.part;
    }
}

void handle_snapshot_part(
    document_state& state, chain_state& chain, host_id from,
    const chain_message& message, time_point now, control_actions& actions)
{
    // Only parts that this node has requested are accepted, which bounds its
    // memory.
    if (from != state.pull.from ||
        message.snapshot.revision <= chain.current->revision ||
        message.snapshot.parts > max_snapshot_parts)
    {
        return;
    }
    if (state.incoming.head.revision != message.snapshot.revision)
    {
        state.incoming = {message.snapshot, from, {}};
        state.incoming.parts.resize(message.snapshot.parts);
    }
    if (!add_snapshot_part(state.incoming, message.part, message.bytes))
    {
        return;
    }
    apply_document(
        state, chain, join_parts(state.incoming), "host " + to_string(from),
        now, actions);
    state.incoming = {};
}

} // namespace cyclamenhold
