#include "core/membership/member_table.hpp"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

std::uint32_t hash_entry(
    host_id host, incarnation host_incarnation, std::uint32_t refutation,
    std::uint64_t upstream_version)
{
    const std::array<std::uint64_t, 4> fields{
        static_cast<std::uint64_t>(host), host_incarnation, refutation,
        upstream_version};
    return static_cast<std::uint32_t>(
        XXH3_64bits(fields.data(), sizeof(fields)));
}

// Dead and departed members hash to 0 like absent ones, so that digests are
// equal whether or not a tombstone has expired.
std::uint32_t hash_entry(const member& known)
{
    if (!is_present(known.state))
    {
        return 0;
    }
    return hash_entry(
        known.host, known.host_incarnation, known.refutation,
        known.upstream.version);
}

bool is_newer(const member_status_report& report, const member& known)
{
    return std::tuple(
               report.host_incarnation, report.refutation,
               static_cast<int>(report.state)) >
           std::tuple(
               known.host_incarnation, known.refutation,
               static_cast<int>(known.state));
}

void emit(
    control_actions& actions, event_kind kind, host_id peer,
    std::string detail = {})
{
    event new_event;
    new_event.kind = kind;
    new_event.peer = peer;
    new_event.detail = std::move(detail);
    actions.events.push_back(std::move(new_event));
}

void emit_state(const member& known, control_actions& actions)
{
    switch (known.state)
    {
    case member_state::alive:
        emit(actions, event_kind::member_joined, known.host);
        return;
    case member_state::suspect:
        emit(actions, event_kind::member_suspected, known.host);
        return;
    case member_state::dead:
        emit(actions, event_kind::member_removed, known.host);
        return;
    case member_state::left:
        emit(actions, event_kind::member_left, known.host);
        return;
    }
}

void emit_upstream(const member& known, control_actions& actions)
{
    switch (known.upstream.state)
    {
    case upstream_state::absent:
        emit(
            actions, event_kind::upstream_lost, known.host,
            known.upstream.service);
        return;
    case upstream_state::draining:
        emit(
            actions, event_kind::upstream_draining, known.host,
            known.upstream.service);
        return;
    case upstream_state::warming:
    case upstream_state::serving:
        emit(
            actions, event_kind::upstream_announced, known.host,
            known.upstream.service);
        return;
    }
}

// Starts or stops the suspicion timer of a member. Only members of the same
// data centre declare each other dead.
void update_suspicion(
    membership_state& state, const member& known, time_point now)
{
    const bool is_tracked = known.state == member_state::suspect &&
                            known.data_centre == state.settings.data_centre;
    if (is_tracked)
    {
        state.suspects[known.host] = now + state.settings.suspicion_time;
        return;
    }
    state.suspects.erase(known.host);
}

// Handles a report about this node: supersedes a wrong one with a higher
// incarnation or refutation. True if it did.
bool refute(membership_state& state, const member_status_report& report)
{
    if (report.host_incarnation > state.self_incarnation)
    {
        state.self_incarnation = report.host_incarnation + 1;
        state.self_refutation = 0;
    }
    else if (
        report.host_incarnation == state.self_incarnation &&
        report.state != member_state::alive && !state.leaving &&
        report.refutation >= state.self_refutation)
    {
        state.self_refutation = report.refutation + 1;
    }
    else
    {
        return false;
    }
    ++state.version;
    queue_update(state, state.settings.self, true);
    return true;
}

member& add_member(membership_state& state, const member_status_report& report)
{
    member& added = state.members[report.host];
    added.host = report.host;
    added.data_centre = report.data_centre;
    // With incarnation 0, older than any report.
    added.state = member_state::left;
    return added;
}

// Applies a newer report to a member; the caller updates the digest.
void apply_report(
    membership_state& state, member& known, const member_status_report& report,
    time_point now, control_actions& actions)
{
    const bool was_present = is_present(known.state);
    const bool was_alive = known.state == member_state::alive;
    const bool is_new_incarnation =
        report.host_incarnation != known.host_incarnation;
    if (is_new_incarnation)
    {
        known.upstream = {};
    }
    known.host_incarnation = report.host_incarnation;
    known.refutation = report.refutation;
    known.data_centre = report.data_centre;
    known.state = report.state;
    known.changed_at = now;
    update_suspicion(state, known, now);
    if (is_new_incarnation || !was_alive || report.state != member_state::alive)
    {
        emit_state(known, actions);
    }
    if (is_present(known.state) != was_present || is_new_incarnation)
    {
        ++state.targets_version;
    }
    ++state.version;
}

bool is_usable(const member_status_report& report)
{
    return report.host != host_id::none && report.host_incarnation != 0;
}

} // namespace

member_status_report report_of(const member& known)
{
    return {
        known.host, known.host_incarnation, known.refutation, known.data_centre,
        known.state};
}

member_status_report own_report(const membership_state& state)
{
    return {
        state.settings.self, state.self_incarnation, state.self_refutation,
        state.settings.data_centre,
        state.leaving ? member_state::left : member_state::alive};
}

bool merge_report(
    membership_state& state, const member_status_report& report, time_point now,
    control_actions& actions)
{
    if (!is_usable(report))
    {
        return false;
    }
    if (report.host == state.settings.self)
    {
        return refute(state, report);
    }
    const auto found = state.members.find(report.host);
    if (found == state.members.end() && !is_present(report.state))
    {
        return false;
    }
    member& known = found == state.members.end() ? add_member(state, report)
                                                 : found->second;
    if (!is_newer(report, known))
    {
        return false;
    }
    auto& bucket = state.digest[digest_bucket_of(report.host)];
    bucket ^= hash_entry(known);
    apply_report(state, known, report, now, actions);
    bucket ^= hash_entry(known);
    queue_update(state, report.host, false);
    return true;
}

bool merge_record(
    membership_state& state, const member_status_report& report,
    const upstream_record& upstream, time_point now, control_actions& actions)
{
    const bool changed = merge_report(state, report, now, actions);
    const auto found = state.members.find(report.host);
    if (found == state.members.end())
    {
        return changed;
    }
    member& known = found->second;
    if (known.host_incarnation != report.host_incarnation ||
        upstream.version <= known.upstream.version)
    {
        return changed;
    }
    auto& bucket = state.digest[digest_bucket_of(report.host)];
    bucket ^= hash_entry(known);
    const auto state_before = known.upstream.state;
    known.upstream = upstream;
    bucket ^= hash_entry(known);
    if (known.upstream.state != state_before)
    {
        emit_upstream(known, actions);
    }
    ++state.version;
    queue_update(state, report.host, true);
    return true;
}

void record_contact(
    membership_state& state, host_id host, std::uint64_t revision,
    time_point now)
{
    const auto found = state.members.find(host);
    if (found == state.members.end())
    {
        return;
    }
    member& known = found->second;
    known.last_contact_at = now;
    known.revision = revision;
    if (known.data_centre != state.settings.data_centre)
    {
        state.data_centres[known.data_centre].last_contact_at = now;
    }
    if (revision > state.highest_revision)
    {
        state.highest_revision = revision;
        state.highest_revision_host = host;
    }
}

void expire_suspects(
    membership_state& state, time_point now, control_actions& actions)
{
    std::vector<host_id> due;
    for (const auto& [host, deadline] : state.suspects)
    {
        if (deadline <= now)
        {
            due.push_back(host);
        }
    }
    for (const host_id host : due)
    {
        state.suspects.erase(host);
        if (const auto found = state.members.find(host);
            found != state.members.end())
        {
            member_status_report report = report_of(found->second);
            report.state = member_state::dead;
            merge_report(state, report, now, actions);
        }
    }
}

void expire_tombstones(membership_state& state, time_point now)
{
    const auto forgotten = std::erase_if(
        state.members,
        [&](const auto& item)
        {
            const member& known = item.second;
            return !is_present(known.state) &&
                   now - known.changed_at > state.settings.tombstone_retention;
        });
    if (forgotten > 0)
    {
        ++state.targets_version;
    }
}

void queue_update(membership_state& state, host_id host, bool includes_upstream)
{
    queued_update& queued = state.updates[host];
    queued.transmissions = 0;
    queued.includes_upstream = queued.includes_upstream || includes_upstream;
}

void refresh_targets(membership_state& state)
{
    member_targets& targets = state.targets;
    if (targets.version == state.targets_version)
    {
        return;
    }
    targets = {};
    targets.version = state.targets_version;
    for (const auto& [host, known] : state.members)
    {
        const bool is_local = known.data_centre == state.settings.data_centre;
        if (is_present(known.state))
        {
            auto& list =
                is_local ? targets.local : targets.remote[known.data_centre];
            list.push_back(host);
        }
        else if (is_local && known.state == member_state::dead)
        {
            targets.local_dead.push_back(host);
        }
    }
    for (const auto& item : targets.remote)
    {
        state.data_centres.try_emplace(
            item.first, data_centre_link{state.last_tick, true});
    }
}

std::size_t digest_bucket_of(host_id host)
{
    return XXH3_64bits(&host, sizeof(host)) % digest_bucket_count;
}

std::array<std::uint32_t, digest_bucket_count>
digest_with_self(const membership_state& state)
{
    auto digest = state.digest;
    if (!state.leaving)
    {
        digest[digest_bucket_of(state.settings.self)] ^= hash_entry(
            state.settings.self, state.self_incarnation, state.self_refutation,
            state.local_upstream.version);
    }
    return digest;
}

} // namespace cyclamenhold
