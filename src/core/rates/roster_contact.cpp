#include "core/rates/roster_keeping.hpp"
#include "core/rates/step.hpp"
#include "core/rates/terms.hpp"

#include <algorithm>
#include <functional>

namespace cyclamenhold
{

bool is_waiting(const rates_step& step)
{
    const roster_state& hosts = step.state.hosts;
    const roster_member* const self =
        find_member(hosts.known, step.state.settings.self);
    if (self == nullptr || self->added == step.inputs.members.self_incarnation)
    {
        return false;
    }
    return step.now < hosts.started_at + giver_term(step.state.settings.term);
}

bool is_active(const rates_step& step)
{
    const roster_state& hosts = step.state.hosts;
    const roster_member* const self =
        find_member(hosts.known, step.state.settings.self);
    if (self == nullptr || hosts.floor < self->joined || is_waiting(step))
    {
        return false;
    }
    return hosts.relearned;
}

std::size_t weight_parts(const roster_state& state, time_point now)
{
    const std::size_t members = state.known.members.size();
    return now < state.grow_at ? std::max(members, state.counted_members)
                               : members;
}

time_point peer_contact_until(const rates_step& step)
{
    const roster_state& hosts = step.state.hosts;
    const std::size_t needed = majority_of(hosts.known.members.size()) - 1;
    if (needed == 0)
    {
        return time_point::max();
    }
    std::vector<time_point> asked;
    for (const auto& [host, at] : hosts.contacts)
    {
        if (contains(hosts.known, host))
        {
            asked.push_back(at);
        }
    }
    if (asked.size() < needed)
    {
        return time_point::min();
    }
    std::ranges::sort(asked, std::greater<>());
    return asked[needed - 1] +
           receiver_term(step.state.settings.removal_time / 2);
}

time_point contact_until(const rates_step& step)
{
    const roster_state& hosts = step.state.hosts;
    const time_point peers = peer_contact_until(step);
    if (hosts.platform_read_at == time_point::min())
    {
        return peers;
    }
    return std::max(
        peers, hosts.platform_read_at +
                   receiver_term(step.state.settings.removal_time / 2));
}

duration contact_left(const rates_step& step)
{
    const time_point until = contact_until(step);
    if (until <= step.now)
    {
        return duration::zero();
    }
    return until == time_point::max() ? duration(24h) : until - step.now;
}

} // namespace cyclamenhold
