#include "core/rates/roster_removal.hpp"

#include "core/rates/step.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

// A proposal that has found no majority by then is given up.
constexpr duration proposal_time = 1s;

bool is_alive(const rates_step& step, host_id host)
{
    const auto& members = step.inputs.members.members;
    const auto found = members.find(host);
    return found != members.end() && found->second.state == member_state::alive;
}

// This host has had no sign of `host` for the removal time.
bool long_silent(const rates_step& step, host_id host)
{
    const rates_state& state = step.state;
    if (host == state.settings.self || is_alive(step, host) ||
        !is_active(step) || !contains(state.hosts.known, host))
    {
        return false;
    }
    const auto contact = state.hosts.contacts.find(host);
    const time_point heard = contact == state.hosts.contacts.end()
                                 ? state.hosts.started_at
                                 : contact->second;
    return step.now - heard > state.settings.removal_time;
}

} // namespace

void keep_removals(rates_step& step)
{
    rates_state& state = step.state;
    roster_state& hosts = state.hosts;
    if (hosts.removal && step.now - hosts.removal->asked_at > proposal_time)
    {
        hosts.removal.reset();
        hosts.next_removal_at = step.now + state.settings.removal_time / 8;
    }
    if (hosts.removal || hosts.call || step.now < hosts.next_removal_at ||
        state.pledges.winners[0] != state.settings.self)
    {
        return;
    }
    const auto silent = std::ranges::find_if(
        hosts.known.members,
        [&step](const roster_member& entry)
        {
            return long_silent(step, entry.host);
        });
    if (silent == hosts.known.members.end())
    {
        return;
    }
    hosts.removal =
        removal_proposal{silent->host, hosts.known.index, {}, step.now};
    wire_rates::removal_query_data query;
    query.index = hosts.known.index;
    query.host = to_wire(silent->host);
    for (const auto& entry : hosts.known.members)
    {
        send_rates_message(step, entry.host, query);
    }
}

void on_removal_query(
    rates_step& step, host_id from, const wire_rates::removal_query_data& in)
{
    const auto host = static_cast<host_id>(in.host);
    roster_state& hosts = step.state.hosts;
    wire_rates::removal_answer_data answer;
    answer.index = in.index;
    answer.host = in.host;
    answer.silent = in.index == hosts.known.index && long_silent(step, host);
    if (answer.silent)
    {
        hosts.refused[host] = in.index;
    }
    send_rates_message(step, from, answer);
}

void on_removal_answer(
    rates_step& step, host_id from, const wire_rates::removal_answer_data& in)
{
    roster_state& hosts = step.state.hosts;
    if (!in.silent || !hosts.removal || !contains(hosts.known, from) ||
        hosts.removal->host != static_cast<host_id>(in.host) ||
        hosts.removal->index != in.index || in.index != hosts.known.index)
    {
        return;
    }
    removal_proposal& proposal = *hosts.removal;
    proposal.confirmed.insert(from);
    if (hosts.call || step.now - proposal.asked_at > proposal_time ||
        proposal.confirmed.size() < majority_of(hosts.known.members.size()))
    {
        return;
    }
    write_roster(
        step,
        without_member(hosts.known, proposal.host, step.now < hosts.grow_at));
    hosts.removal.reset();
    hosts.next_removal_at = step.now + step.state.settings.removal_time / 8;
}

} // namespace cyclamenhold
