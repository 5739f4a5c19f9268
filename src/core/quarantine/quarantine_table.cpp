#include "core/quarantine/quarantine_table.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

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

} // namespace

bool quarantine_digest(
    quarantine_state& state, std::uint64_t digest, time_point until,
    std::string_view source, control_actions& actions)
{
    if (state.quarantined.contains(digest))
    {
        return false;
    }
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
    state.quarantined[digest] = until;
    ++state.version;
    event quarantined;
    quarantined.kind = event_kind::request_quarantined;
    quarantined.detail =
        "digest " + std::to_string(digest) + " from " + std::string(source);
    actions.events.push_back(std::move(quarantined));
    return true;
}

bool add_suspect(
    quarantine_state& state, const upstream_incarnation& crash,
    std::uint64_t digest, time_point until, time_point now,
    control_actions& actions)
{
    if (state.quarantined.contains(digest))
    {
        return false;
    }
    if (state.suspects.size() >= state.settings.max_suspects &&
        !state.suspects.contains(digest))
    {
        evict_oldest_suspect(state);
    }
    auto& [crashes, expires_at] = state.suspects[digest];
    if (std::ranges::find(crashes, crash) == crashes.end())
    {
        crashes.push_back(crash);
        expires_at = std::max(expires_at, until);
        ++state.version;
    }
    return crashes.size() >= crashes_to_quarantine &&
           quarantine_digest(
               state, digest, now + state.settings.quarantine_time, "crashes",
               actions);
}

} // namespace cyclamenhold
