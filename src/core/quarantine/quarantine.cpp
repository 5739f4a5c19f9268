#include "core/quarantine/quarantine.hpp"

#include "core/quarantine/quarantine_exchange.hpp"
#include "core/quarantine/quarantine_gossip.hpp"
#include "core/quarantine/quarantine_messages.hpp"
#include "core/quarantine/quarantine_record.hpp"
#include "core/quarantine/quarantine_table.hpp"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

crash_report_id report_id_of(
    const upstream_incarnation& crash, std::span<const std::uint64_t> digests)
{
    return {crash, XXH3_64bits(digests.data(), digests.size_bytes())};
}

// Whether this node has reported a crash of the suspect.
bool has_reported(const quarantine_state& state, std::uint64_t digest)
{
    const auto found = state.suspects.find(digest);
    return found != state.suspects.end() &&
           std::ranges::any_of(
               found->second.crashes,
               [&state](const upstream_incarnation& crash)
               {
                   return crash.host == state.settings.self;
               });
}

// Records a report once; `age` is the time since the crash. Returns false when
// it was recorded before.
bool record_crash(
    quarantine_state& state, const upstream_incarnation& crash, duration age,
    std::span<const std::uint64_t> digests, time_point now,
    random_source& random, control_actions& actions)
{
    const duration longest = state.settings.suspicion_time;
    const time_point until = now + longest - std::min(age, longest);
    const crash_report_id report = report_id_of(crash, digests);
    if (state.reports.contains(report))
    {
        return false;
    }
    if (state.reports.size() >= state.settings.max_suspects)
    {
        state.reports.erase(state.reports.begin());
    }
    state.reports.emplace(report, now + state.settings.suspicion_time);
    for (const std::uint64_t digest : digests)
    {
        const bool is_reporter =
            crash.host == state.settings.self || has_reported(state, digest);
        if (add_suspect(state, crash, digest, until, now, actions))
        {
            record_later(state, digest, is_reporter, now, random);
        }
    }
    ++state.version;
    return true;
}

bool clear_suspects(
    quarantine_state& state, std::span<const std::uint64_t> digests)
{
    std::size_t cleared = 0;
    for (const std::uint64_t digest : digests)
    {
        cleared += state.suspects.erase(digest);
    }
    state.version += cleared > 0 ? 1 : 0;
    return cleared > 0;
}

template <class Entries, class TimeOf>
void erase_expired(Entries& entries, time_point now, TimeOf time_of)
{
    std::erase_if(
        entries,
        [&](const auto& entry)
        {
            return time_of(entry.second) <= now;
        });
}

} // namespace

void quarantine_start(
    quarantine_state& state, const quarantine_settings& settings)
{
    state.settings = settings;
}

void quarantine_on_crash(
    quarantine_state& state, const membership_state& members,
    const upstream_incarnation& crash, std::span<const std::uint64_t> digests,
    time_point now, random_source& random, control_actions& actions)
{
    const auto reported =
        digests.first(std::min(digests.size(), max_reported_digests));
    if (reported.empty() ||
        !record_crash(
            state, crash, duration::zero(), reported, now, random, actions))
    {
        return;
    }
    quarantine_message message;
    message.kind = quarantine_message_kind::crash_report;
    message.crash = crash;
    message.digests.assign(reported.begin(), reported.end());
    start_gossip(members, message, random, actions);
    // Without a delay: the node may be killed before the next tick.
    tick_record(state, members, now, random, actions);
}

void quarantine_on_success(
    quarantine_state& state, const membership_state& members,
    std::uint64_t digest, time_point /*now*/, random_source& random,
    control_actions& actions)
{
    if (!clear_suspects(state, std::span(&digest, 1)))
    {
        return;
    }
    quarantine_message message;
    message.kind = quarantine_message_kind::clearance;
    message.digests = {digest};
    start_gossip(members, message, random, actions);
}

void quarantine_on_message(
    quarantine_state& state, const membership_state& members,
    const incoming_message& message, time_point now, random_source& random,
    control_actions& actions)
{
    auto decoded = decode_quarantine(message.payload);
    if (!decoded)
    {
        event bad;
        bad.kind = event_kind::bad_input;
        bad.peer = message.from;
        bad.detail = "malformed quarantine message";
        actions.events.push_back(std::move(bad));
        return;
    }
    switch (decoded->kind)
    {
    case quarantine_message_kind::crash_report:
        if (record_crash(
                state, decoded->crash, decoded->age, decoded->digests, now,
                random, actions))
        {
            forward_gossip(members, *decoded, random, actions);
            tick_record(state, members, now, random, actions);
        }
        return;
    case quarantine_message_kind::clearance:
        if (clear_suspects(state, decoded->digests))
        {
            forward_gossip(members, *decoded, random, actions);
        }
        return;
    case quarantine_message_kind::table_request:
        answer_table_request(state, message.from, *decoded, now, actions);
        return;
    case quarantine_message_kind::table_copy:
        merge_table(state, *decoded, now, random, actions);
        return;
    }
}

void quarantine_on_platform_reply(
    quarantine_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    handle_record_reply(state, reply, now, random, actions);
}

void quarantine_tick(
    quarantine_state& state, const membership_state& members,
    std::uint64_t wall_clock_ms, time_point now, random_source& random,
    control_actions& actions)
{
    state.wall_clock_ms = wall_clock_ms;
    const auto before = state.suspects.size() + state.quarantined.size();
    const auto identity = [](time_point at)
    {
        return at;
    };
    erase_expired(state.reports, now, identity);
    erase_expired(state.quarantined, now, identity);
    erase_expired(
        state.suspects, now,
        [](const suspect& entry)
        {
            return entry.expires_at;
        });
    const auto after = state.suspects.size() + state.quarantined.size();
    state.version += after != before ? 1 : 0;
    tick_exchange(state, members, now, random, actions);
    tick_record(state, members, now, random, actions);
}

void quarantine_begin_era(
    quarantine_state& state, time_point now, random_source& random)
{
    restart_record(state, now, random);
}

time_point quarantine_due(const quarantine_state& state)
{
    time_point due = std::min(
        {state.exchange.next_request_at, state.exchange.next_check_at,
         record_due(state.record)});
    for (const auto& [report, at] : state.reports)
    {
        due = std::min(due, at);
    }
    for (const auto& [digest, at] : state.quarantined)
    {
        due = std::min(due, at);
    }
    for (const auto& [digest, entry] : state.suspects)
    {
        due = std::min(due, entry.expires_at);
    }
    return due;
}

bool is_quarantine_known(const quarantine_state& state)
{
    return state.record.has_read || state.exchange.has_table;
}

quarantine_view build_quarantine_view(const quarantine_state& state)
{
    quarantine_view view;
    for (const auto& [digest, entry] : state.suspects)
    {
        view.suspects.push_back(digest);
    }
    for (const auto& [digest, until] : state.quarantined)
    {
        view.quarantined.push_back(digest);
    }
    return view;
}

bool is_suspect(const quarantine_view& view, std::uint64_t digest)
{
    return std::ranges::binary_search(view.suspects, digest);
}

bool is_quarantined(const quarantine_view& view, std::uint64_t digest)
{
    return std::ranges::binary_search(view.quarantined, digest);
}

} // namespace cyclamenhold
