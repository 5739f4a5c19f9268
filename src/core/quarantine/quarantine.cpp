#include "core/quarantine/quarantine.hpp"

#include "core/quarantine/quarantine_messages.hpp"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

constexpr std::uint8_t max_hops = 8;
// Each host that receives a new report sends it to this many members.
constexpr std::size_t fan_out = 6;

std::vector<host_id>
choose_receivers(const membership_state& members, random_source& random)
{
    std::vector<host_id> alive;
    for (const auto& [host, entry] : members.members)
    {
        if (entry.state == member_state::alive)
        {
            alive.push_back(host);
        }
    }
    std::shuffle(alive.begin(), alive.end(), random);
    alive.resize(std::min(alive.size(), fan_out));
    return alive;
}

void send_to_random_members(
    const membership_state& members, const quarantine_message& message,
    random_source& random, control_actions& actions)
{
    if (message.hops == 0)
    {
        return;
    }
    const auto payload = encode_quarantine(message);
    for (const host_id host : choose_receivers(members, random))
    {
        actions.messages.push_back(
            {host, message_kind::quarantine, transport::stream, payload});
    }
}

// Makes room by dropping the suspect that would expire first.
void evict_oldest_suspect(quarantine_state& state)
{
    const auto oldest = std::ranges::min_element(
        state.suspects, {},
        [](const auto& entry)
        {
            return entry.second.expires_at;
        });
    state.suspects.erase(oldest);
}

void quarantine_digest(
    quarantine_state& state, std::uint64_t digest, time_point now,
    control_actions& actions)
{
    if (state.quarantined.size() >= state.settings.max_quarantined)
    {
        state.quarantined.erase(std::ranges::min_element(
            state.quarantined, {},
            [](const auto& entry)
            {
                return entry.second;
            }));
    }
    state.suspects.erase(digest);
    state.quarantined[digest] = now + state.settings.quarantine_time;
    event quarantined;
    quarantined.kind = event_kind::request_quarantined;
    quarantined.detail = "digest " + std::to_string(digest);
    actions.events.push_back(std::move(quarantined));
}

// Adds the crash to those of the suspect. Quarantines it if there are enough.
void add_suspect(
    quarantine_state& state, const upstream_incarnation& crash,
    std::uint64_t digest, time_point now, control_actions& actions)
{
    if (state.quarantined.contains(digest))
    {
        return;
    }
    if (state.suspects.size() >= state.settings.max_suspects &&
        !state.suspects.contains(digest))
    {
        evict_oldest_suspect(state);
    }
    auto& [crashes, expires_at] = state.suspects[digest];
    expires_at = now + state.settings.suspicion_time;
    if (std::ranges::find(crashes, crash) == crashes.end())
    {
        crashes.push_back(crash);
    }
    if (crashes.size() >= crashes_to_quarantine)
    {
        quarantine_digest(state, digest, now, actions);
    }
}

crash_report_id report_id_of(
    const upstream_incarnation& crash, std::span<const std::uint64_t> digests)
{
    return {crash, XXH3_64bits(digests.data(), digests.size_bytes())};
}

// Records a report once. Returns false when it was recorded before.
bool record_crash(
    quarantine_state& state, const upstream_incarnation& crash,
    std::span<const std::uint64_t> digests, time_point now,
    control_actions& actions)
{
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
        add_suspect(state, crash, digest, now, actions);
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
    if (reported.empty() || !record_crash(state, crash, reported, now, actions))
    {
        return;
    }
    quarantine_message message;
    message.crash = crash;
    message.digests.assign(reported.begin(), reported.end());
    message.hops = max_hops;
    send_to_random_members(members, message, random, actions);
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
    message.digests = {digest};
    message.hops = max_hops;
    send_to_random_members(members, message, random, actions);
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
    const bool is_new =
        decoded->crash
            ? record_crash(
                  state, *decoded->crash, decoded->digests, now, actions)
            : clear_suspects(state, decoded->digests);
    if (is_new)
    {
        decoded->hops = std::min(decoded->hops, max_hops);
        decoded->hops -= decoded->hops > 0 ? 1 : 0;
        send_to_random_members(members, *decoded, random, actions);
    }
}

void quarantine_tick(quarantine_state& state, time_point now)
{
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
}

time_point quarantine_due(const quarantine_state& state)
{
    time_point due = time_point::max();
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
