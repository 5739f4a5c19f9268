#include "core/configuration/chain_platform.hpp"

#include "core/intent/configuration_json.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

constexpr std::string_view maintenance_salt = "configuration-snapshot";
// Every data centre writes snapshots. A random delay makes it likely that one
// has finished before the others start.
constexpr double snapshot_spread_seconds = 20.0;

platform_call& add_maintenance_call(
    chain_state& state, platform_operation operation, chain_call_kind kind,
    control_actions& actions)
{
    state.maintenance.busy = true;
    return add_chain_call(
        state, platform_client::configuration, operation, {kind, 0, {}},
        actions);
}

void check_head(chain_state& state, control_actions& actions)
{
    auto& call = add_maintenance_call(
        state, platform_operation::get, chain_call_kind::check_snapshot_head,
        actions);
    call.key = snapshot_head_key;
}

void write_part(chain_state& state, control_actions& actions)
{
    const outgoing_snapshot& snapshot = *state.maintenance.snapshot;
    auto& call = add_maintenance_call(
        state, platform_operation::compare_and_swap,
        chain_call_kind::write_snapshot_part, actions);
    call.key = snapshot_part_key(snapshot.head.revision, snapshot.next_part);
    call.value = snapshot.parts[snapshot.next_part];
}

void write_head(chain_state& state, control_actions& actions)
{
    const outgoing_snapshot& snapshot = *state.maintenance.snapshot;
    auto& call = add_maintenance_call(
        state, platform_operation::compare_and_swap,
        chain_call_kind::write_snapshot_head, actions);
    call.key = snapshot_head_key;
    call.value = to_value(snapshot.head);
    call.expected_version = snapshot.present_version;
}

void find_obsolete(chain_state& state, control_actions& actions)
{
    auto& call = add_maintenance_call(
        state, platform_operation::get, chain_call_kind::find_obsolete,
        actions);
    call.key = state.maintenance.obsolete.back();
}

// Adds the parts of the replaced snapshot, and the changes that need not be
// kept any longer, to the obsolete keys.
void record_obsolete_keys(
    snapshot_maintenance& maintenance, const outgoing_snapshot& snapshot)
{
    const snapshot_head& old = snapshot.present;
    for (std::uint32_t part = 0; part < old.parts; ++part)
    {
        maintenance.obsolete.push_back(snapshot_part_key(old.revision, part));
    }
    if (old.revision <= changes_kept)
    {
        return;
    }
    const std::uint64_t last = old.revision - changes_kept;
    const std::uint64_t revisions_since = snapshot.head.revision - old.revision;
    const std::uint64_t first =
        last > revisions_since ? last - revisions_since + 1 : 1;
    for (std::uint64_t revision = first; revision <= last; ++revision)
    {
        maintenance.obsolete.push_back(change_key(revision));
    }
}

void handle_present_head(
    chain_state& state, const platform_reply& reply, control_actions& actions)
{
    snapshot_maintenance& maintenance = state.maintenance;
    outgoing_snapshot snapshot;
    if (!reply.entries.empty())
    {
        snapshot.present_version = reply.entries.front().version;
        if (const auto head = parse_snapshot_head(reply.entries.front().value);
            head.has_value())
        {
            snapshot.present = *head;
        }
    }
    maintenance.snapshot_revision = snapshot.present.revision;
    const std::uint64_t revision = state.current->revision;
    if (revision < snapshot.present.revision + changes_between_snapshots)
    {
        return;
    }
    snapshot.parts = split_snapshot(to_json(*state.current));
    snapshot.head = {
        revision, state.chain_hash,
        static_cast<std::uint32_t>(snapshot.parts.size())};
    maintenance.snapshot = std::move(snapshot);
    write_part(state, actions);
}

void handle_part_reply(
    chain_state& state, const platform_reply& reply, control_actions& actions)
{
    outgoing_snapshot& snapshot = *state.maintenance.snapshot;
    const bool written =
        reply.status == platform_status::ok ||
        (reply.status == platform_status::conflict && !reply.entries.empty() &&
         reply.entries.front().value == snapshot.parts[snapshot.next_part]);
    if (!written)
    {
        state.maintenance.snapshot.reset();
        return;
    }
    if (++snapshot.next_part < snapshot.parts.size())
    {
        write_part(state, actions);
        return;
    }
    write_head(state, actions);
}

void handle_head_reply(chain_state& state, const platform_reply& reply)
{
    snapshot_maintenance& maintenance = state.maintenance;
    const outgoing_snapshot& snapshot = *maintenance.snapshot;
    const auto present = reply.entries.empty()
                             ? std::nullopt
                             : parse_snapshot_head(reply.entries.front().value);
    if (reply.status == platform_status::ok)
    {
        maintenance.snapshot_revision = snapshot.head.revision;
        record_obsolete_keys(maintenance, snapshot);
    }
    else if (present.has_value() && present->revision != snapshot.head.revision)
    {
        // Another node has replaced the head first; no head refers to these
        // parts.
        for (std::uint32_t part = 0; part < snapshot.head.parts; ++part)
        {
            maintenance.obsolete.push_back(
                snapshot_part_key(snapshot.head.revision, part));
        }
    }
    maintenance.snapshot.reset();
}

void handle_obsolete_reply(
    chain_state& state, const platform_reply& reply, control_actions& actions)
{
    snapshot_maintenance& maintenance = state.maintenance;
    if (reply.entries.empty())
    {
        maintenance.obsolete.pop_back();
        return;
    }
    auto& call = add_maintenance_call(
        state, platform_operation::compare_and_delete,
        chain_call_kind::delete_obsolete, actions);
    call.key = reply.entries.front().key;
    call.expected_version = reply.entries.front().version;
}

} // namespace

void tick_snapshot_maintenance(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions)
{
    snapshot_maintenance& maintenance = state.maintenance;
    const bool is_due = state.watch.is_watcher && !maintenance.busy &&
                        now >= maintenance.next_snapshot_at;
    if (!is_due)
    {
        return;
    }
    if (!maintenance.obsolete.empty())
    {
        find_obsolete(state, actions);
        return;
    }
    const bool enough_changes =
        state.current->revision >=
        maintenance.snapshot_revision + changes_between_snapshots;
    if (!enough_changes || !is_rendezvous_member(members, maintenance_salt, 1))
    {
        return;
    }
    maintenance.next_snapshot_at =
        now + from_seconds(snapshot_spread_seconds * random_fraction(random));
    check_head(state, actions);
}

void handle_maintenance_reply(
    chain_state& state, const chain_call& call, const platform_reply& reply,
    time_point now, random_source& random, control_actions& actions)
{
    snapshot_maintenance& maintenance = state.maintenance;
    maintenance.busy = false;
    if (reply.status == platform_status::unavailable ||
        reply.status == platform_status::rejected)
    {
        maintenance.snapshot.reset();
        maintenance.next_snapshot_at =
            now +
            from_seconds(snapshot_spread_seconds * random_fraction(random));
        return;
    }
    switch (call.kind)
    {
    case chain_call_kind::check_snapshot_head:
        handle_present_head(state, reply, actions);
        return;
    case chain_call_kind::write_snapshot_part:
        handle_part_reply(state, reply, actions);
        return;
    case chain_call_kind::write_snapshot_head:
        handle_head_reply(state, reply);
        return;
    case chain_call_kind::find_obsolete:
        handle_obsolete_reply(state, reply, actions);
        return;
    case chain_call_kind::delete_obsolete:
        maintenance.obsolete.pop_back();
        return;
    case chain_call_kind::read_change:
    case chain_call_kind::watch:
    case chain_call_kind::read_snapshot_head:
    case chain_call_kind::read_snapshot_part:
    case chain_call_kind::commit_check:
    case chain_call_kind::commit_write:
        return;
    }
}

} // namespace cyclamenhold
