#include "core/quarantine/quarantine_exchange.hpp"

#include "core/quarantine/quarantine_gossip.hpp"
#include "core/quarantine/quarantine_record.hpp"
#include "core/quarantine/quarantine_table.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

constexpr duration first_request_interval = 200ms;
constexpr duration request_interval = 5s;
// A node that starts requests several tables, since one may be of a node that
// also starts.
constexpr std::size_t first_fan_out = 3;
constexpr std::size_t fan_out = 1;
// Counting the members that are alive takes time in a large fleet.
constexpr duration member_check_interval = 500ms;
// Entries that are about to expire are not copied, since each copy would delay
// their end.
constexpr duration shortest_copied = 1s;

// The same for the same set of quarantined requests.
std::uint64_t fingerprint_of(const quarantine_state& state)
{
    std::vector<std::uint64_t> digests;
    digests.reserve(state.quarantined.size());
    for (const auto& [digest, until] : state.quarantined)
    {
        digests.push_back(digest);
    }
    return XXH3_64bits(digests.data(), digests.size() * sizeof(std::uint64_t));
}

// Whether more members are alive than at the last check. A connection to a part
// of the fleet has then been restored.
bool have_members_returned(
    quarantine_exchange& exchange, const membership_state& members,
    time_point now)
{
    if (now < exchange.next_check_at)
    {
        return false;
    }
    exchange.next_check_at = now + member_check_interval;
    if (members.version == exchange.members_version)
    {
        return false;
    }
    exchange.members_version = members.version;
    const auto alive = static_cast<std::size_t>(std::ranges::count_if(
        members.members,
        [](const auto& entry)
        {
            return entry.second.state == member_state::alive;
        }));
    return alive > std::exchange(exchange.alive, alive);
}

// Members that were out of reach have missed the reports of this host, also
// those from before the first member was found.
void repeat_own_reports(
    const quarantine_state& state, const membership_state& members,
    time_point now, random_source& random, control_actions& actions)
{
    std::map<upstream_incarnation, quarantine_message> reports;
    for (const auto& [digest, entry] : state.suspects)
    {
        for (const auto& crash : entry.crashes)
        {
            if (crash.host != state.settings.self)
            {
                continue;
            }
            quarantine_message& report = reports[crash];
            if (report.digests.size() < max_reported_digests)
            {
                report.digests.push_back(digest);
                report.age = std::max(
                    report.age,
                    state.settings.suspicion_time - (entry.expires_at - now));
            }
        }
    }
    for (auto& [crash, report] : reports)
    {
        report.kind = quarantine_message_kind::crash_report;
        report.crash = crash;
        start_gossip(members, report, random, actions);
    }
}

} // namespace

void tick_exchange(
    quarantine_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions)
{
    quarantine_exchange& exchange = state.exchange;
    const bool returned = have_members_returned(exchange, members, now);
    if (returned)
    {
        repeat_own_reports(state, members, now, random, actions);
    }
    if (now < exchange.next_request_at && !returned)
    {
        return;
    }
    exchange.next_request_at =
        now + (exchange.has_table ? request_interval : first_request_interval);
    quarantine_message request;
    request.kind = quarantine_message_kind::table_request;
    request.fingerprint = fingerprint_of(state);
    request.is_starting = !exchange.has_table;
    for (const host_id host : random_members(
             members, exchange.has_table ? fan_out : first_fan_out, random))
    {
        send_to(host, request, actions);
    }
}

void answer_table_request(
    const quarantine_state& state, host_id from,
    const quarantine_message& request, time_point now, control_actions& actions)
{
    if (!request.is_starting && request.fingerprint == fingerprint_of(state))
    {
        return;
    }
    quarantine_message copy;
    copy.kind = quarantine_message_kind::table_copy;
    copy.is_complete = is_quarantine_known(state);
    for (const auto& [digest, until] : state.quarantined)
    {
        if (until - now >= shortest_copied)
        {
            copy.quarantined.push_back({digest, until - now});
        }
    }
    for (const auto& [digest, entry] : state.suspects)
    {
        if (request.is_starting && copy.suspects.size() < max_copied_suspects)
        {
            copy.suspects.push_back(
                {digest, entry.crashes, entry.expires_at - now});
        }
    }
    send_to(from, copy, actions);
}

void merge_table(
    quarantine_state& state, const quarantine_message& copy, time_point now,
    random_source& random, control_actions& actions)
{
    for (const auto& [digest, remaining] : copy.quarantined)
    {
        const duration kept =
            std::min(remaining, state.settings.quarantine_time);
        if (quarantine_digest(state, digest, now + kept, "a member", actions))
        {
            record_later(state, digest, false, now, random);
        }
    }
    for (const auto& [digest, crashes, remaining] : copy.suspects)
    {
        const time_point until =
            now + std::min(remaining, state.settings.suspicion_time);
        for (const auto& crash : crashes)
        {
            if (add_suspect(state, crash, digest, until, now, actions))
            {
                record_later(state, digest, false, now, random);
            }
        }
    }
    state.exchange.has_table = state.exchange.has_table || copy.is_complete;
}

} // namespace cyclamenhold
