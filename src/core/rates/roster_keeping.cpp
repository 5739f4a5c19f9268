#include "core/rates/roster_keeping.hpp"

#include "core/rates/roster_removal.hpp"
#include "core/rates/step.hpp"
#include "core/rates/terms.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

constexpr duration quick_query_interval = 250ms;
constexpr duration call_timeout = 3s;
constexpr duration first_back_off = 250ms;
constexpr duration longest_back_off = 10s;
// Hosts that start together join by one write.
constexpr std::uint64_t join_spread_ms = 300;

bool on_roster(const rates_step& step)
{
    return contains(step.state.hosts.known, step.state.settings.self);
}

// This host and all hosts of its data centre that the roster lacks.
std::vector<roster_member> missing_members(const rates_step& step)
{
    const rates_state& state = step.state;
    std::vector<roster_member> missing;
    if (!on_roster(step))
    {
        missing.push_back(
            {state.settings.self, step.inputs.members.self_incarnation, 0});
    }
    for (const auto& [host, entry] : step.inputs.members.members)
    {
        if (entry.state == member_state::alive &&
            entry.data_centre == state.settings.data_centre &&
            !contains(state.hosts.known, host))
        {
            missing.push_back({host, entry.host_incarnation, 0});
        }
    }
    return missing;
}

void read_platform(rates_step& step)
{
    roster_state& hosts = step.state.hosts;
    hosts.call = roster_call{++hosts.last_id, step.now, {}};
    platform_call call;
    call.client = platform_client::roster;
    call.call_id = hosts.call->call_id;
    call.operation = platform_operation::get;
    call.key = roster_key(step.state.settings.data_centre);
    step.actions.platform_calls.push_back(std::move(call));
}

// True when the weight would lapse before the next round of queries.
bool contact_is_short(const rates_step& step)
{
    return contact_left(step) < step.state.settings.removal_time / 4;
}

bool needs_platform(const rates_step& step)
{
    const roster_state& hosts = step.state.hosts;
    if (step.state.leaving)
    {
        return false;
    }
    if (!on_roster(step))
    {
        return true;
    }
    const bool must_relearn = !hosts.relearned && !is_waiting(step);
    return must_relearn || contact_is_short(step);
}

void follow_platform(rates_step& step)
{
    roster_state& hosts = step.state.hosts;
    if (hosts.call && step.now - hosts.call->asked_at > call_timeout)
    {
        hosts.call.reset();
    }
    if (hosts.call || step.now < hosts.next_call_at || !needs_platform(step))
    {
        return;
    }
    const bool known = hosts.known.index > 0 || hosts.known_absent;
    if (!on_roster(step) && known)
    {
        write_roster(step, with_members(hosts.known, missing_members(step)));
        return;
    }
    // A host that majorities refuse, though the platform still lists it,
    // writes the roster anew, which ends the refusals.
    const bool refused =
        on_roster(step) && hosts.relearned &&
        hosts.platform_read_at > hosts.touched_at &&
        step.now - hosts.touched_at > step.state.settings.removal_time / 2 &&
        peer_contact_until(step) < step.now;
    if (refused)
    {
        hosts.touched_at = step.now;
        write_roster(step, with_members(hosts.known, {}));
        return;
    }
    read_platform(step);
}

void back_off(rates_step& step)
{
    roster_state& hosts = step.state.hosts;
    hosts.call_back_off = std::clamp(
        hosts.call_back_off * 2, duration(first_back_off),
        duration(longest_back_off));
    const auto milliseconds =
        static_cast<std::uint64_t>(to_milliseconds(hosts.call_back_off));
    hosts.next_call_at =
        step.now + hosts.call_back_off / 2 +
        std::chrono::milliseconds(random_below(step.random, milliseconds));
}

void ask_members(rates_step& step)
{
    rates_state& state = step.state;
    roster_state& hosts = state.hosts;
    if (step.now < hosts.next_query_at)
    {
        return;
    }
    const bool settled = is_active(step) && !contact_is_short(step);
    hosts.next_query_at = step.now + (settled ? state.settings.removal_time / 8
                                              : duration(quick_query_interval));
    hosts.query = ++hosts.last_id;
    hosts.queried_at = step.now;
    wire_rates::roster_query_data query;
    query.query = hosts.query;
    query.index = hosts.known.index;
    for (const auto& entry : hosts.known.members)
    {
        if (entry.host != state.settings.self)
        {
            send_rates_message(step, entry.host, query);
        }
    }
    if (hosts.known.index > 0)
    {
        return;
    }
    for (const auto& [host, entry] : step.inputs.members.members)
    {
        if (entry.data_centre == state.settings.data_centre &&
            entry.state == member_state::alive)
        {
            send_rates_message(step, host, query);
        }
    }
}

// A restarted host has learned the newest roster once enough members have
// answered queries that were sent after its wait.
void check_relearned(rates_step& step)
{
    roster_state& hosts = step.state.hosts;
    const roster_member* const self =
        find_member(hosts.known, step.state.settings.self);
    if (hosts.relearned || self == nullptr || is_waiting(step))
    {
        return;
    }
    if (self->added == step.inputs.members.self_incarnation)
    {
        hosts.relearned = true;
        return;
    }
    const time_point wait_ended =
        hosts.started_at + giver_term(step.state.settings.term);
    std::size_t answered = 0;
    for (const auto& entry : hosts.known.members)
    {
        const auto found = hosts.contacts.find(entry.host);
        answered +=
            found != hosts.contacts.end() && found->second >= wait_ended;
    }
    const std::size_t members = hosts.known.members.size();
    const std::size_t enough = std::min(majority_of(members), members - 1);
    hosts.relearned = hosts.platform_read_at >= wait_ended ||
                      (members > 1 && answered >= enough);
}

} // namespace

void write_roster(rates_step& step, const roster& next)
{
    roster_state& hosts = step.state.hosts;
    hosts.call = roster_call{++hosts.last_id, step.now, next};
    platform_call call;
    call.client = platform_client::roster;
    call.call_id = hosts.call->call_id;
    call.operation = platform_operation::compare_and_swap;
    call.key = roster_key(step.state.settings.data_centre);
    call.value = roster_text(next);
    call.expected_version = hosts.known.platform_version;
    step.actions.platform_calls.push_back(std::move(call));
}

void adopt_roster(rates_step& step, const roster& hosts)
{
    roster_state& state = step.state.hosts;
    if (hosts.index <= state.known.index)
    {
        return;
    }
    std::size_t removed = hosts.removed_lately;
    if (state.known.index > 0)
    {
        removed = static_cast<std::size_t>(std::ranges::count_if(
            state.known.members,
            [&hosts](const roster_member& entry)
            {
                return !contains(hosts, entry.host);
            }));
    }
    const std::size_t parts = weight_parts(state, step.now);
    if (removed > 0)
    {
        state.counted_members = std::max(parts, hosts.members.size() + removed);
        state.grow_at = step.now + giver_term(step.state.settings.removal_time);
    }
    state.known = hosts;
    std::erase_if(
        state.refused,
        [&hosts](const auto& entry)
        {
            return entry.second < hosts.index;
        });
    state.next_query_at = step.now;
}

void keep_roster(rates_step& step)
{
    check_relearned(step);
    follow_platform(step);
    ask_members(step);
    keep_removals(step);
}

void on_roster_reply(rates_step& step, const platform_reply& reply)
{
    roster_state& hosts = step.state.hosts;
    if (!hosts.call || reply.call_id != hosts.call->call_id)
    {
        return;
    }
    const roster_call call = std::move(*hosts.call);
    hosts.call.reset();
    if (reply.status == platform_status::ok ||
        reply.status == platform_status::conflict ||
        reply.status == platform_status::not_found)
    {
        hosts.call_back_off = {};
        hosts.platform_read_at = call.asked_at;
    }
    if (reply.status == platform_status::ok && call.proposed.index > 0 &&
        !reply.entries.empty())
    {
        roster accepted = call.proposed;
        accepted.platform_version = reply.entries.front().version;
        adopt_roster(step, accepted);
        return;
    }
    if (!reply.entries.empty())
    {
        const auto& entry = reply.entries.front();
        if (const auto parsed = parse_roster(entry.value, entry.version))
        {
            adopt_roster(step, *parsed);
        }
    }
    if (reply.status == platform_status::not_found)
    {
        hosts.known_absent = true;
    }
    if (reply.status == platform_status::ok && on_roster(step))
    {
        hosts.next_call_at = step.now + step.state.settings.removal_time / 8;
        return;
    }
    if (reply.status == platform_status::ok ||
        reply.status == platform_status::conflict ||
        reply.status == platform_status::not_found)
    {
        hosts.next_call_at = step.now + std::chrono::milliseconds(random_below(
                                            step.random, join_spread_ms));
        return;
    }
    back_off(step);
}

} // namespace cyclamenhold
