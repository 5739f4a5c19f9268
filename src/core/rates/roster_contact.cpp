#include "core/rates/lease_terms.hpp"
#include "core/rates/rates_context.hpp"
#include "core/rates/roster_maintenance.hpp"

#include <algorithm>
#include <functional>

namespace cyclamenhold
{

bool is_in_restart_wait(const rates_context& context)
{
    const roster_state& hosts = context.state.hosts;
    const roster_member* const self =
        find_member(hosts.known, context.state.settings.self);
    if (self == nullptr ||
        self->added == context.inputs.members.self_incarnation)
    {
        return false;
    }
    return context.now <
           hosts.started_at + grantor_term(context.state.settings.term);
}

bool is_active(const rates_context& context)
{
    const roster_state& hosts = context.state.hosts;
    const roster_member* const self =
        find_member(hosts.known, context.state.settings.self);
    if (self == nullptr || hosts.floor < self->joined ||
        is_in_restart_wait(context))
    {
        return false;
    }
    return hosts.is_roster_current;
}

std::size_t weight_parts(const roster_state& state, time_point now)
{
    const std::size_t members = state.known.members.size();
    return now < state.counted_until ? std::max(members, state.counted_members)
                                     : members;
}

time_point peer_contact_expires_at(const rates_context& context)
{
    const roster_state& hosts = context.state.hosts;
    const std::size_t needed = majority_of(hosts.known.members.size()) - 1;
    if (needed == 0)
    {
        return time_point::max();
    }
    std::vector<time_point> query_times;
    for (const auto& [host, at] : hosts.contacts)
    {
        if (contains(hosts.known, host))
        {
            query_times.push_back(at);
        }
    }
    if (query_times.size() < needed)
    {
        return time_point::min();
    }
    std::ranges::sort(query_times, std::greater<>());
    return query_times[needed - 1] +
           holder_term(context.state.settings.removal_time / 2);
}

time_point contact_expires_at(const rates_context& context)
{
    const roster_state& hosts = context.state.hosts;
    const time_point peers = peer_contact_expires_at(context);
    if (hosts.platform_read_at == time_point::min())
    {
        return peers;
    }
    return std::max(
        peers, hosts.platform_read_at +
                   holder_term(context.state.settings.removal_time / 2));
}

duration contact_time_left(const rates_context& context)
{
    const time_point until = contact_expires_at(context);
    if (until <= context.now)
    {
        return duration::zero();
    }
    return until == time_point::max() ? duration(24h) : until - context.now;
}

} // namespace cyclamenhold
