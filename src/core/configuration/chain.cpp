#include "core/configuration/chain.hpp"

#include "core/configuration/chain_commits.hpp"
#include "core/configuration/chain_peers.hpp"
#include "core/configuration/chain_platform.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

// Longer than the timeout of any call, so that only lost replies expire.
constexpr duration call_expiry = 60s;

// Fails the calls that have had no reply until their expiry.
void expire_calls(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, call] : state.calls)
    {
        if (call.expires_at <= now)
        {
            expired.push_back(id);
        }
    }
    for (const std::uint64_t id : expired)
    {
        platform_reply reply;
        reply.call_id = id;
        reply.status = platform_status::unavailable;
        chain_on_platform_reply(state, members, reply, now, random, actions);
    }
}

} // namespace

platform_call& add_chain_call(
    chain_state& state, platform_client client, platform_operation operation,
    const chain_call& purpose, control_actions& actions)
{
    platform_call call;
    call.client = client;
    call.call_id = state.next_call++;
    call.operation = operation;
    chain_call& added = state.calls[call.call_id];
    added = purpose;
    added.expires_at = state.last_tick + call_expiry;
    actions.platform_calls.push_back(std::move(call));
    return actions.platform_calls.back();
}

void chain_start(
    chain_state& state, const chain_settings& settings, time_point now,
    random_source& random, control_actions& /*actions*/)
{
    state.settings = settings;
    state.applied_at = now;
    state.last_tick = now;
    start_watch(state, now, random);
}

void chain_tick(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions)
{
    state.last_tick = now;
    expire_calls(state, members, now, random, actions);
    tick_watch(state, members, now, random, actions);
    tick_snapshot_maintenance(state, members, now, random, actions);
    tick_commits(state, now, actions);
    pull_if_behind(state, members, now, random, actions);
    advertise_revision(state, members, random, actions);
}

void chain_on_message(
    chain_state& state, const membership_state& members,
    const incoming_message& message, time_point now, random_source& random,
    control_actions& actions)
{
    const auto decoded = decode_chain_message(message.payload);
    if (!decoded.has_value())
    {
        event happened;
        happened.kind = event_kind::bad_input;
        happened.peer = message.from;
        happened.detail = "configuration message";
        actions.events.push_back(std::move(happened));
        return;
    }
    handle_chain_message(
        state, members, message.from, *decoded, now, random, actions);
}

void chain_on_platform_reply(
    chain_state& state, const membership_state& members,
    const platform_reply& reply, time_point now, random_source& random,
    control_actions& actions)
{
    const auto found = state.calls.find(reply.call_id);
    if (found == state.calls.end())
    {
        return;
    }
    const chain_call call = found->second;
    state.calls.erase(found);
    switch (call.kind)
    {
    case chain_call_kind::read_change:
    case chain_call_kind::watch:
    case chain_call_kind::read_snapshot_head:
    case chain_call_kind::read_snapshot_part:
        handle_watch_reply(state, call, reply, now, random, actions);
        break;
    case chain_call_kind::check_snapshot_head:
    case chain_call_kind::write_snapshot_part:
    case chain_call_kind::write_snapshot_head:
    case chain_call_kind::find_obsolete:
    case chain_call_kind::delete_obsolete:
        handle_maintenance_reply(state, call, reply, now, random, actions);
        break;
    case chain_call_kind::commit_check:
    case chain_call_kind::commit_write:
        handle_commit_reply(state, call, reply, now, random, actions);
        break;
    }
    advertise_revision(state, members, random, actions);
}

time_point chain_due(const chain_state& state)
{
    time_point due = std::min(watch_due(state), commits_due(state));
    if (state.advertised_revision < state.current->revision)
    {
        due = std::min(due, state.last_tick);
    }
    return due;
}

void chain_commit(
    chain_state& state, commit_token token, std::uint64_t base_revision,
    const std::string& operation_id, const std::string& operations,
    time_point now, random_source& /*random*/, control_actions& actions)
{
    start_commit(
        state, token, {base_revision + 1, operation_id, 0, operations}, now,
        actions);
}

void publish_to_membership(const chain_state& state, membership_state& members)
{
    members.own_revision = state.current->revision;
    members.platform_read_at =
        std::max(members.platform_read_at, state.platform_read_at);
}

} // namespace cyclamenhold
