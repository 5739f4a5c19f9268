#include "core/rates/roster_removal.hpp"

#include "core/rates/rates_context.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

// A proposal without a majority after this time is dropped.
constexpr duration proposal_timeout = 1s;

bool is_alive(const rates_context& context, host_id host)
{
    const auto& members = context.inputs.members.members;
    const auto found = members.find(host);
    return found != members.end() && found->second.state == member_state::alive;
}

// True when `host` is a roster member that is not alive and has answered no
// query of this host for the removal time.
bool is_long_silent(const rates_context& context, host_id host)
{
    const rates_state& state = context.state;
    if (host == state.settings.self || is_alive(context, host) ||
        !is_active(context) || !contains(state.hosts.known, host))
    {
        return false;
    }
    const auto contact = state.hosts.contacts.find(host);
    const time_point last_contact_at = contact == state.hosts.contacts.end()
                                           ? state.hosts.started_at
                                           : contact->second;
    return context.now - last_contact_at > state.settings.removal_time;
}

} // namespace

void tick_removals(rates_context& context)
{
    rates_state& state = context.state;
    roster_state& hosts = state.hosts;
    if (hosts.removal &&
        context.now - hosts.removal->requested_at > proposal_timeout)
    {
        hosts.removal.reset();
        hosts.next_removal_at = context.now + state.settings.removal_time / 8;
    }
    if (hosts.removal || hosts.call || context.now < hosts.next_removal_at ||
        state.weight_leases.winners[0] != state.settings.self)
    {
        return;
    }
    const auto silent = std::ranges::find_if(
        hosts.known.members,
        [&context](const roster_member& entry)
        {
            return is_long_silent(context, entry.host);
        });
    if (silent == hosts.known.members.end())
    {
        return;
    }
    hosts.removal =
        removal_proposal{silent->host, hosts.known.index, {}, context.now};
    wire_rates::removal_query_data query;
    query.index = hosts.known.index;
    query.host = to_wire(silent->host);
    for (const auto& entry : hosts.known.members)
    {
        send_rates_message(context, entry.host, query);
    }
}

void on_removal_query(
    rates_context& context, host_id from,
    const wire_rates::removal_query_data& in)
{
    const auto host = static_cast<host_id>(in.host);
    roster_state& hosts = context.state.hosts;
    wire_rates::removal_answer_data answer;
    answer.index = in.index;
    answer.host = in.host;
    answer.silent =
        in.index == hosts.known.index && is_long_silent(context, host);
    if (answer.silent)
    {
        hosts.refused[host] = in.index;
    }
    send_rates_message(context, from, answer);
}

void on_removal_answer(
    rates_context& context, host_id from,
    const wire_rates::removal_answer_data& in)
{
    roster_state& hosts = context.state.hosts;
    if (!in.silent || !hosts.removal || !contains(hosts.known, from) ||
        hosts.removal->host != static_cast<host_id>(in.host) ||
        hosts.removal->index != in.index || in.index != hosts.known.index)
    {
        return;
    }
    removal_proposal& proposal = *hosts.removal;
    proposal.confirmed.insert(from);
    if (hosts.call || context.now - proposal.requested_at > proposal_timeout ||
        proposal.confirmed.size() < majority_of(hosts.known.members.size()))
    {
        return;
    }
    write_roster(
        context,
        without_member(
            hosts.known, proposal.host, context.now < hosts.counted_until));
    hosts.removal.reset();
    hosts.next_removal_at =
        context.now + context.state.settings.removal_time / 8;
}

} // namespace cyclamenhold
