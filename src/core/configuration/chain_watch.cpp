#include "core/configuration/chain_platform.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

constexpr std::size_t watchers_per_data_centre = 3;
constexpr std::string_view watcher_salt = "configuration";
constexpr duration first_read_delay = 1s;
constexpr duration watcher_check_interval = 1s;
// Watches may miss changes, so the chain is also read periodically.
constexpr duration read_interval = 5s;
constexpr duration watch_time = 20s;
constexpr duration watch_timeout = 23s;
constexpr std::uint32_t max_changes_per_watch = 16;
// One of this many cycles of reads checks for a newer snapshot first.
constexpr std::uint32_t cycles_per_snapshot_check = 6;
constexpr duration shortest_backoff = 500ms;
constexpr duration longest_backoff = 15s;

// A random duration in [span / 2, span * 3 / 2).
duration jittered(duration span, random_source& random)
{
    return span / 2 + from_seconds(to_seconds(span) * random_fraction(random));
}

void emit(control_actions& actions, event_kind kind)
{
    event happened;
    happened.kind = kind;
    actions.events.push_back(std::move(happened));
}

void record_platform_status(
    chain_watch& watch, bool up, control_actions& actions)
{
    if (watch.is_platform_available != up)
    {
        watch.is_platform_available = up;
        emit(
            actions, up ? event_kind::platform_available
                        : event_kind::platform_unavailable);
    }
}

void read_next_change(chain_state& state, control_actions& actions)
{
    auto& call = add_chain_call(
        state, platform_client::configuration, platform_operation::get,
        {chain_call_kind::read_change, 0, {}}, actions);
    call.key = change_key(state.current->revision + 1);
    state.watch.reading = true;
}

void read_snapshot_head(chain_state& state, control_actions& actions)
{
    auto& call = add_chain_call(
        state, platform_client::configuration, platform_operation::get,
        {chain_call_kind::read_snapshot_head, 0, {}}, actions);
    call.key = snapshot_head_key;
    state.watch.reading = true;
}

void read_snapshot_part(
    chain_state& state, std::uint32_t part, control_actions& actions)
{
    auto& call = add_chain_call(
        state, platform_client::configuration, platform_operation::get,
        {chain_call_kind::read_snapshot_part, part, {}}, actions);
    call.key = snapshot_part_key(state.watch.snapshot->head.revision, part);
    state.watch.reading = true;
}

void start_reading(chain_state& state, control_actions& actions)
{
    if (state.watch.read_cycles++ % cycles_per_snapshot_check == 0)
    {
        read_snapshot_head(state, actions);
        return;
    }
    read_next_change(state, actions);
}

void start_watching(chain_state& state, control_actions& actions)
{
    auto& call = add_chain_call(
        state, platform_client::configuration, platform_operation::watch,
        {chain_call_kind::watch, 0, {}}, actions);
    call.key = change_prefix;
    call.expected_version = state.watch.platform_revision;
    call.wait = watch_time;
    call.timeout = watch_timeout;
    call.limit = max_changes_per_watch;
    state.watch.watching = true;
}

void record_failure(
    chain_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    chain_watch& watch = state.watch;
    record_platform_status(watch, false, actions);
    const time_point again = now + chain_backoff(watch.failures, random);
    ++watch.failures;
    watch.snapshot.reset();
    watch.next_read_at = again;
    watch.next_watch_at = std::max(watch.next_watch_at, again);
}

bool is_answer(const platform_reply& reply)
{
    return reply.status == platform_status::ok ||
           reply.status == platform_status::not_found;
}

// This node has applied the newest change, as of the platform's revision in
// `reply`.
void record_up_to_date(
    chain_state& state, const platform_reply& reply, time_point now,
    random_source& random)
{
    state.platform_read_at = now;
    state.watch.platform_revision = reply.revision;
    state.watch.next_read_at = now + jittered(read_interval, random);
}

void handle_change_reply(
    chain_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    if (reply.entries.empty())
    {
        record_up_to_date(state, reply, now, random);
        return;
    }
    const auto change = parse_change(reply.entries.front().value);
    const apply_result result = change.has_value()
                                    ? apply_change(state, *change, now, actions)
                                    : apply_result::rejected;
    if (result == apply_result::rejected)
    {
        if (!change.has_value() &&
            state.rejected_revision != state.current->revision + 1)
        {
            state.rejected_revision = state.current->revision + 1;
            emit(actions, event_kind::configuration_rejected);
        }
        state.watch.next_read_at = now + jittered(read_interval, random);
        return;
    }
    read_next_change(state, actions);
}

void handle_snapshot_head(
    chain_state& state, const platform_reply& reply, control_actions& actions)
{
    if (!reply.entries.empty())
    {
        const auto head = parse_snapshot_head(reply.entries.front().value);
        if (head.has_value())
        {
            state.maintenance.snapshot_revision =
                std::max(state.maintenance.snapshot_revision, head->revision);
        }
        if (head.has_value() && head->revision > state.current->revision)
        {
            state.watch.snapshot = incoming_snapshot{*head, host_id::none, {}};
            state.watch.snapshot->parts.resize(head->parts);
            read_snapshot_part(state, 0, actions);
            return;
        }
    }
    read_next_change(state, actions);
}

void handle_snapshot_part(
    chain_state& state, std::uint32_t part, const platform_reply& reply,
    time_point now, control_actions& actions)
{
    auto& snapshot = state.watch.snapshot;
    if (!snapshot.has_value() || reply.entries.empty())
    {
        // The snapshot was replaced; the next cycle reads the head again.
        snapshot.reset();
        state.watch.read_cycles = 0;
        return;
    }
    if (!add_snapshot_part(*snapshot, part, reply.entries.front().value))
    {
        read_snapshot_part(state, part + 1, actions);
        return;
    }
    apply_snapshot(state, snapshot->head, join_parts(*snapshot), now, actions);
    snapshot.reset();
    read_next_change(state, actions);
}

void handle_watch_result(
    chain_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    chain_watch& watch = state.watch;
    watch.watching = false;
    if (!is_answer(reply))
    {
        record_failure(state, now, random, actions);
        return;
    }
    watch.failures = 0;
    record_platform_status(watch, true, actions);
    // A short pause lets several changes arrive with one call.
    watch.next_watch_at = now + jittered(200ms, random);
    if (reply.entries.empty())
    {
        watch.platform_revision =
            std::max(watch.platform_revision, reply.revision);
        return;
    }
    for (const auto& entry : reply.entries)
    {
        // Changes that cannot be applied yet are read one by one below, so the
        // watch need not return them again.
        watch.platform_revision =
            std::max(watch.platform_revision, entry.version);
        if (const auto change = parse_change(entry.value); change.has_value())
        {
            apply_change(state, *change, now, actions);
        }
    }
    if (!watch.reading)
    {
        read_next_change(state, actions);
    }
}

} // namespace

duration chain_backoff(std::uint32_t failures, random_source& random)
{
    const std::uint32_t doublings = std::min(failures, 6U);
    return jittered(
        std::min(shortest_backoff * (1 << doublings), longest_backoff), random);
}

void start_watch(chain_state& state, time_point now, random_source& random)
{
    // The delay lets the membership converge before watchers are determined.
    state.watch.next_watcher_check_at =
        now + jittered(first_read_delay, random);
}

void tick_watch(
    chain_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions)
{
    chain_watch& watch = state.watch;
    if (now >= watch.next_watcher_check_at)
    {
        watch.next_watcher_check_at =
            now + jittered(watcher_check_interval, random);
        watch.is_watcher = is_rendezvous_member(
            members, watcher_salt, watchers_per_data_centre);
    }
    if (!watch.is_watcher)
    {
        return;
    }
    if (!watch.reading && now >= watch.next_read_at)
    {
        start_reading(state, actions);
    }
    const bool read_once = state.platform_read_at != time_point{};
    if (!watch.watching && read_once && now >= watch.next_watch_at)
    {
        start_watching(state, actions);
    }
}

time_point watch_due(const chain_state& state)
{
    const chain_watch& watch = state.watch;
    time_point due = watch.next_watcher_check_at;
    if (watch.is_watcher && !watch.reading)
    {
        due = std::min(due, watch.next_read_at);
    }
    return due;
}

void handle_watch_reply(
    chain_state& state, const chain_call& call, const platform_reply& reply,
    time_point now, random_source& random, control_actions& actions)
{
    if (call.kind == chain_call_kind::watch)
    {
        handle_watch_result(state, reply, now, random, actions);
        return;
    }
    state.watch.reading = false;
    if (!is_answer(reply))
    {
        record_failure(state, now, random, actions);
        return;
    }
    state.watch.failures = 0;
    record_platform_status(state.watch, true, actions);
    if (call.kind == chain_call_kind::read_change)
    {
        handle_change_reply(state, reply, now, random, actions);
    }
    if (call.kind == chain_call_kind::read_snapshot_head)
    {
        handle_snapshot_head(state, reply, actions);
    }
    if (call.kind == chain_call_kind::read_snapshot_part)
    {
        handle_snapshot_part(
            state, static_cast<std::uint32_t>(call.token), reply, now, actions);
    }
}

} // namespace cyclamenhold
