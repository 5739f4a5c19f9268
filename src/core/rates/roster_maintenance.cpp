#include "core/rates/roster_maintenance.hpp"

#include "core/rates/lease_terms.hpp"
#include "core/rates/rates_context.hpp"
#include "core/rates/roster_removal.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

constexpr duration quick_query_interval = 250ms;
constexpr duration call_timeout = 3s;
constexpr duration first_back_off = 250ms;
constexpr duration max_back_off = 10s;
// Longest random delay before a host writes the roster. Hosts that start at the
// same time are then added by one write.
constexpr std::uint64_t join_spread_ms = 300;

bool is_on_roster(const rates_context& context)
{
    return contains(context.state.hosts.known, context.state.settings.self);
}

// This host and all alive hosts of its data centre that are not on the roster.
std::vector<roster_member> missing_members(const rates_context& context)
{
    const rates_state& state = context.state;
    std::vector<roster_member> missing;
    if (!is_on_roster(context))
    {
        missing.push_back(
            {state.settings.self, context.inputs.members.self_incarnation, 0});
    }
    for (const auto& [host, entry] : context.inputs.members.members)
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

void read_platform(rates_context& context)
{
    roster_state& hosts = context.state.hosts;
    hosts.call = roster_call{++hosts.last_id, context.now, {}};
    platform_call call;
    call.client = platform_client::roster;
    call.call_id = hosts.call->call_id;
    call.operation = platform_operation::get;
    call.key = roster_key(context.state.settings.data_centre);
    context.actions.platform_calls.push_back(std::move(call));
}

// True when less than a quarter of the removal time is left before this host
// has to stop using its weight.
bool is_contact_expiring(const rates_context& context)
{
    return contact_time_left(context) < context.state.settings.removal_time / 4;
}

bool needs_platform(const rates_context& context)
{
    const roster_state& hosts = context.state.hosts;
    if (context.state.leaving)
    {
        return false;
    }
    if (!is_on_roster(context))
    {
        return true;
    }
    const bool needs_current_roster =
        !hosts.is_roster_current && !is_in_restart_wait(context);
    return needs_current_roster || is_contact_expiring(context);
}

void sync_with_platform(rates_context& context)
{
    roster_state& hosts = context.state.hosts;
    if (hosts.call && context.now - hosts.call->requested_at > call_timeout)
    {
        hosts.call.reset();
    }
    if (hosts.call || context.now < hosts.next_call_at ||
        !needs_platform(context))
    {
        return;
    }
    const bool known = hosts.known.index > 0 || hosts.is_known_absent;
    if (!is_on_roster(context) && known)
    {
        write_roster(
            context, with_members(hosts.known, missing_members(context)));
        return;
    }
    // When a majority of members refuses a host that is still on the platform's
    // roster, the host rewrites the roster. The new index clears the refusals.
    const bool is_refused = is_on_roster(context) && hosts.is_roster_current &&
                            hosts.platform_read_at > hosts.rewritten_at &&
                            context.now - hosts.rewritten_at >
                                context.state.settings.removal_time / 2 &&
                            peer_contact_expires_at(context) < context.now;
    if (is_refused)
    {
        hosts.rewritten_at = context.now;
        write_roster(context, with_members(hosts.known, {}));
        return;
    }
    read_platform(context);
}

void back_off(rates_context& context)
{
    roster_state& hosts = context.state.hosts;
    hosts.call_back_off = std::clamp(
        hosts.call_back_off * 2, duration(first_back_off),
        duration(max_back_off));
    const auto milliseconds =
        static_cast<std::uint64_t>(to_milliseconds(hosts.call_back_off));
    hosts.next_call_at =
        context.now + hosts.call_back_off / 2 +
        std::chrono::milliseconds(random_below(context.random, milliseconds));
}

void query_members(rates_context& context)
{
    rates_state& state = context.state;
    roster_state& hosts = state.hosts;
    if (context.now < hosts.next_query_at)
    {
        return;
    }
    const bool is_settled = is_active(context) && !is_contact_expiring(context);
    hosts.next_query_at =
        context.now + (is_settled ? state.settings.removal_time / 8
                                  : duration(quick_query_interval));
    hosts.query = ++hosts.last_id;
    hosts.queried_at = context.now;
    wire_rates::roster_query_data query;
    query.query = hosts.query;
    query.index = hosts.known.index;
    for (const auto& entry : hosts.known.members)
    {
        if (entry.host != state.settings.self)
        {
            send_rates_message(context, entry.host, query);
        }
    }
    if (hosts.known.index > 0)
    {
        return;
    }
    for (const auto& [host, entry] : context.inputs.members.members)
    {
        if (entry.data_centre == state.settings.data_centre &&
            entry.state == member_state::alive)
        {
            send_rates_message(context, host, query);
        }
    }
}

// A restarted host's roster is current once the platform or enough members have
// answered requests that were sent after its restart wait.
void check_roster_current(rates_context& context)
{
    roster_state& hosts = context.state.hosts;
    const roster_member* const self =
        find_member(hosts.known, context.state.settings.self);
    if (hosts.is_roster_current || self == nullptr ||
        is_in_restart_wait(context))
    {
        return;
    }
    if (self->added == context.inputs.members.self_incarnation)
    {
        hosts.is_roster_current = true;
        return;
    }
    const time_point wait_ended =
        hosts.started_at + grantor_term(context.state.settings.term);
    std::size_t answered = 0;
    for (const auto& entry : hosts.known.members)
    {
        const auto found = hosts.contacts.find(entry.host);
        answered +=
            found != hosts.contacts.end() && found->second >= wait_ended;
    }
    const std::size_t members = hosts.known.members.size();
    const std::size_t enough = std::min(majority_of(members), members - 1);
    hosts.is_roster_current = hosts.platform_read_at >= wait_ended ||
                              (members > 1 && answered >= enough);
}

} // namespace

void write_roster(rates_context& context, const roster& next)
{
    roster_state& hosts = context.state.hosts;
    hosts.call = roster_call{++hosts.last_id, context.now, next};
    platform_call call;
    call.client = platform_client::roster;
    call.call_id = hosts.call->call_id;
    call.operation = platform_operation::compare_and_swap;
    call.key = roster_key(context.state.settings.data_centre);
    call.value = serialize_roster(next);
    call.expected_version = hosts.known.platform_version;
    context.actions.platform_calls.push_back(std::move(call));
}

void adopt_roster(rates_context& context, const roster& hosts)
{
    roster_state& state = context.state.hosts;
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
    const std::size_t parts = weight_parts(state, context.now);
    if (removed > 0)
    {
        state.counted_members = std::max(parts, hosts.members.size() + removed);
        state.counted_until =
            context.now + grantor_term(context.state.settings.removal_time);
    }
    state.known = hosts;
    context.state.weights_changed = true;
    std::erase_if(
        state.refused,
        [&hosts](const auto& entry)
        {
            return entry.second < hosts.index;
        });
    state.next_query_at = context.now;
}

void tick_roster(rates_context& context)
{
    check_roster_current(context);
    sync_with_platform(context);
    query_members(context);
    tick_removals(context);
}

void on_roster_reply(rates_context& context, const platform_reply& reply)
{
    roster_state& hosts = context.state.hosts;
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
        hosts.platform_read_at = call.requested_at;
    }
    if (reply.status == platform_status::ok && call.proposed.index > 0 &&
        !reply.entries.empty())
    {
        roster accepted = call.proposed;
        accepted.platform_version = reply.entries.front().version;
        adopt_roster(context, accepted);
        return;
    }
    if (!reply.entries.empty())
    {
        const auto& entry = reply.entries.front();
        if (const auto parsed = parse_roster(entry.value, entry.version))
        {
            adopt_roster(context, *parsed);
        }
    }
    if (reply.status == platform_status::not_found)
    {
        hosts.is_known_absent = true;
    }
    if (reply.status == platform_status::ok && is_on_roster(context))
    {
        hosts.next_call_at =
            context.now + context.state.settings.removal_time / 8;
        return;
    }
    if (reply.status == platform_status::ok ||
        reply.status == platform_status::conflict ||
        reply.status == platform_status::not_found)
    {
        hosts.next_call_at =
            context.now + std::chrono::milliseconds(
                              random_below(context.random, join_spread_ms));
        return;
    }
    back_off(context);
}

} // namespace cyclamenhold
