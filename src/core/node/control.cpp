#include "core/node/control.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace cyclamenhold
{

rates_inputs inputs_of_rates(control_state& state)
{
    return {*state.chain.current, state.membership, *state.limiter};
}

claims_inputs inputs_of_claims(const control_state& state)
{
    return {
        *state.chain.current, state.membership, state.rates,
        state.wall_clock_ms};
}

namespace
{

std::string describe_evacuated(const control_state& state)
{
    std::string text;
    for (const auto evacuated : state.evacuated)
    {
        const auto& known = state.document.settings.data_centres;
        const auto found = std::ranges::find_if(
            known,
            [evacuated](const data_centre& entry)
            {
                return data_centre_id_of(entry.name) == evacuated;
            });
        text += text.empty() ? "" : ", ";
        text += found == known.end() ? "one that is not of this deployment"
                                     : found->name;
    }
    return text.empty() ? "none" : text;
}

// Takes over changes of the list of evacuated data centres.
void update_evacuations(
    control_state& state, time_point now, control_actions& actions)
{
    exchange_evacuations(state.document, state.membership, now);
    auto evacuated = evacuated_data_centres(state.document.evacuations, now);
    if (evacuated == state.evacuated)
    {
        return;
    }
    state.evacuated = std::move(evacuated);
    event new_event;
    new_event.kind = event_kind::evacuation_changed;
    new_event.detail = "evacuated: " + describe_evacuated(state);
    actions.events.push_back(std::move(new_event));
}

// Exchanges with the other nodes what the store's replies and their messages
// changed.
void update_documents(
    control_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    update_evacuations(state, now, actions);
    if (reads_documents(state.document))
    {
        document_exchange(
            state.document, state.chain, state.membership, now, random,
            actions);
    }
}

// Starts over what depends on the platform's revisions and leases when it has
// returned from an older copy: both are given out again, so that those of
// before may belong to something else now.
void begin_platform_era(
    control_state& state, std::uint64_t era, time_point now,
    random_source& random, control_actions& actions)
{
    const std::uint64_t former = std::exchange(state.platform_era, era);
    if (former == 0)
    {
        return;
    }
    event new_event;
    new_event.kind = event_kind::platform_rewound;
    new_event.detail = "the platform returned from an older copy: era " +
                       std::to_string(era) + " after " + std::to_string(former);
    actions.events.push_back(std::move(new_event));
    document_begin_era(state.document, era, now);
    membership_begin_era(state.membership, now, random);
    quarantine_begin_era(state.quarantine, now, random);
    departures_begin_era(state.departures, now, random);
}

bool has_tree_budgets(const control_state& state)
{
    return state.observer != nullptr && state.tree_budget != nullptr;
}

trees_inputs inputs_of_trees(control_state& state)
{
    return {state.membership, *state.observer, *state.tree_budget};
}

} // namespace

void control_start(
    control_state& state, const control_settings& settings,
    rate_limiter& limiter, std::uint64_t wall_clock_ms, time_point now,
    random_source& random, control_actions& actions)
{
    state.limiter = &limiter;
    state.wall_clock_ms = wall_clock_ms;
    membership_start(
        state.membership, settings.membership, wall_clock_ms, now, random,
        actions);
    state.document.settings = settings.document;
    if (reads_documents(state.document))
    {
        state.chain.settings = settings.chain;
        document_start(state.document, state.chain, now);
    }
    else
    {
        chain_start(state.chain, settings.chain, now, random, actions);
    }
    rates_start(state.rates, settings.rates, now, random, actions);
    claims_start(state.claims, settings.claims, now, random, actions);
    quarantine_settings quarantine;
    quarantine.self = settings.membership.self;
    quarantine_start(state.quarantine, quarantine);
    if (settings.records_departures)
    {
        departures_start(state.departures, settings.membership.self);
        departures_tick(state.departures, now, random, actions);
    }
    trees_start(state.trees, settings.trees, now, random);
}

void control_tick(
    control_state& state, std::uint64_t wall_clock_ms, time_point now,
    random_source& random, control_actions& actions)
{
    state.wall_clock_ms = wall_clock_ms;
    publish_to_membership(state.chain, state.membership);
    membership_tick(state.membership, now, random, actions);
    if (reads_documents(state.document))
    {
        document_tick(
            state.document, state.chain, state.membership, now, random,
            actions);
    }
    else
    {
        chain_tick(state.chain, state.membership, now, random, actions);
    }
    update_documents(state, now, random, actions);
    if (has_tree_budgets(state))
    {
        trees_on_configuration(
            state.trees, inputs_of_trees(state), *state.chain.current);
        trees_tick(state.trees, inputs_of_trees(state), now, actions);
    }
    rates_tick(state.rates, inputs_of_rates(state), now, random, actions);
    claims_tick(state.claims, inputs_of_claims(state), now, random, actions);
    quarantine_tick(
        state.quarantine, state.membership, wall_clock_ms, now, random,
        actions);
    departures_tick(state.departures, now, random, actions);
}

void control_on_message(
    control_state& state, const incoming_message& message, time_point now,
    random_source& random, control_actions& actions)
{
    switch (message.kind)
    {
    case message_kind::membership:
        membership_on_message(state.membership, message, now, random, actions);
        update_documents(state, now, random, actions);
        return;
    case message_kind::configuration:
        if (reads_documents(state.document))
        {
            document_on_message(
                state.document, state.chain, message, now, actions);
            update_documents(state, now, random, actions);
            return;
        }
        chain_on_message(
            state.chain, state.membership, message, now, random, actions);
        return;
    case message_kind::rates:
        rates_on_message(
            state.rates, inputs_of_rates(state), message, now, random, actions);
        return;
    case message_kind::claims:
        claims_on_message(
            state.claims, inputs_of_claims(state), message, now, random,
            actions);
        return;
    case message_kind::quarantine:
        quarantine_on_message(
            state.quarantine, state.membership, message, now, random, actions);
        return;
    case message_kind::trees:
        if (has_tree_budgets(state))
        {
            trees_on_message(
                state.trees, inputs_of_trees(state), message, now, actions);
        }
        return;
    }
}

void control_on_platform_reply(
    control_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    if (reply.era > state.platform_era)
    {
        begin_platform_era(state, reply.era, now, random, actions);
    }
    else if (reply.era != 0 && reply.era < state.platform_era)
    {
        // Sent before the platform returned; what it says no longer holds.
        platform_reply outdated = reply;
        outdated.status = platform_status::unavailable;
        outdated.era = 0;
        control_on_platform_reply(state, outdated, now, random, actions);
        return;
    }
    switch (reply.client)
    {
    case platform_client::membership:
        membership_on_platform_reply(
            state.membership, reply, now, random, actions);
        return;
    case platform_client::configuration:
    case platform_client::intent:
        if (reads_documents(state.document))
        {
            document_on_platform_reply(
                state.document, state.chain, state.membership, reply, now,
                random, actions);
            update_documents(state, now, random, actions);
            return;
        }
        chain_on_platform_reply(
            state.chain, state.membership, reply, now, random, actions);
        return;
    case platform_client::roster:
        rates_on_platform_reply(
            state.rates, inputs_of_rates(state), reply, now, random, actions);
        return;
    case platform_client::quarantine:
        quarantine_on_platform_reply(
            state.quarantine, reply, now, random, actions);
        return;
    case platform_client::departures:
        departures_on_platform_reply(
            state.departures, reply, now, random, actions);
        return;
    }
}

void control_on_departure(
    control_state& state, const departed_process& process, time_point now,
    random_source& random, control_actions& actions)
{
    add_departure(state.departures, process);
    departures_tick(state.departures, now, random, actions);
}

time_point control_due(const control_state& state)
{
    const time_point configuration_due = reads_documents(state.document)
                                             ? document_due(state.document)
                                             : chain_due(state.chain);
    return std::min(
        {membership_due(state.membership), configuration_due,
         rates_due(state.rates), claims_due(state.claims),
         quarantine_due(state.quarantine), departures_due(state.departures),
         has_tree_budgets(state) ? trees_due(state.trees) : time_point::max()});
}

bool control_may_serve(control_state& state, time_point now)
{
    if (state.may_serve || state.chain.current->revision == 0)
    {
        return state.may_serve;
    }
    if (state.configured_at == time_point{})
    {
        state.configured_at = now;
    }
    state.may_serve = is_quarantine_known(state.quarantine) ||
                      now - state.configured_at >= longest_quarantine_wait;
    return state.may_serve;
}

void control_leave(
    control_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    rates_leave(state.rates, inputs_of_rates(state), now, random, actions);
    membership_leave(state.membership, now, random, actions);
}

} // namespace cyclamenhold
