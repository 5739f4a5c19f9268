#include "core/rates/rates.hpp"

#include "core/rates/demand_shares.hpp"
#include "core/rates/rates_context.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

// Tick intervals while tokens are needed and otherwise.
constexpr duration busy_interval = 5ms;
constexpr duration idle_interval = 50ms;

void dispatch(
    rates_context& context, host_id from, const wire_rates::bodyUnion& body)
{
    switch (body.type)
    {
    case wire_rates::body::roster_query:
        return on_roster_query(context, from, *body.Asroster_query());
    case wire_rates::body::roster_answer:
        return on_roster_answer(context, from, *body.Asroster_answer());
    case wire_rates::body::pledge_request:
        return on_weight_lease_request(context, from, *body.Aspledge_request());
    case wire_rates::body::pledge_reply:
        return on_weight_lease_reply(context, from, *body.Aspledge_reply());
    case wire_rates::body::pledge_release:
        return on_weight_lease_release(context, from, *body.Aspledge_release());
    case wire_rates::body::loan_request:
        return on_loan_request(context, from, *body.Asloan_request());
    case wire_rates::body::loan_reply:
        return on_loan_reply(context, from, *body.Asloan_reply());
    case wire_rates::body::removal_query:
        return on_removal_query(context, from, *body.Asremoval_query());
    case wire_rates::body::removal_answer:
        return on_removal_answer(context, from, *body.Asremoval_answer());
    case wire_rates::body::demand_report:
        return on_demand_report(context, from, *body.Asdemand_report());
    case wire_rates::body::pool_request:
        return on_pool_request(context, from, *body.Aspool_request());
    case wire_rates::body::pool_reply:
        return on_pool_reply(context, from, *body.Aspool_reply());
    case wire_rates::body::NONE:
        return;
    }
}

void decode_and_dispatch(
    rates_context& context, host_id from, std::span<const std::uint8_t> payload)
{
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!wire_rates::VerifymessageBuffer(verifier))
    {
        context.actions.events.push_back(
            {event_kind::bad_input, {}, {}, from, "malformed rates message"});
        return;
    }
    const auto message = wire_rates::UnPackmessage(payload.data());
    dispatch(context, from, message->body);
}

void deliver_local_messages(rates_context& context)
{
    while (!context.state.local_messages.empty())
    {
        const auto payload = std::move(context.state.local_messages.front());
        context.state.local_messages.pop_front();
        decode_and_dispatch(context, context.state.settings.self, payload);
    }
}

// Ends an event. When the event granted a weight lease or adopted a roster, the
// limiter's allowances are reduced before it returns.
void finish_event(rates_context& context)
{
    deliver_local_messages(context);
    if (context.state.weights_changed)
    {
        context.state.weights_changed = false;
        set_allowances(context);
    }
}

// Applies a new configuration revision: the workspaces and this data centre's
// share.
void apply_configuration(rates_context& context)
{
    rates_state& state = context.state;
    const configuration& current = context.inputs.current;
    if (state.revision == current.revision)
    {
        return;
    }
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        refill_shard(context, shard);
    }
    state.revision = current.revision;
    state.share = share_of(current, state.settings.data_centre);
    state.workspaces.clear();
    std::vector<workspace_id> ids;
    for (const auto& entry : current.workspaces)
    {
        const workspace_id id = workspace_id_of(entry.name);
        state.workspaces.emplace(id, entry);
        ids.push_back(id);
    }
    limit_workspaces(context.inputs.limiter, ids, context.now);
    std::erase_if(
        state.loans.demand,
        [&state](const auto& entry)
        {
            return !state.workspaces.contains(entry.first);
        });
}

} // namespace

namespace
{

void send_via(
    rates_context& context, host_id to, transport via,
    wire_rates::bodyUnion body)
{
    wire_rates::message_data message;
    message.body = std::move(body);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire_rates::message::Pack(builder, &message));
    std::vector<std::uint8_t> payload(
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize());
    if (to == context.state.settings.self)
    {
        context.state.local_messages.push_back(std::move(payload));
        return;
    }
    context.actions.messages.push_back(
        {to, message_kind::rates, via, std::move(payload)});
}

} // namespace

void send_rates(rates_context& context, host_id to, wire_rates::bodyUnion body)
{
    send_via(context, to, transport::stream, std::move(body));
}

void send_rates_datagram(
    rates_context& context, host_id to, wire_rates::bodyUnion body)
{
    send_via(context, to, transport::datagram, std::move(body));
}

void rates_start(
    rates_state& state, const rates_settings& settings, time_point now,
    random_source& random, control_actions& /*actions*/)
{
    state.settings = settings;
    state.hosts.started_at = now;
    state.hosts.next_call_at =
        now + std::chrono::milliseconds(random_below(random, 200));
    // Random first ids, so that ids of an earlier incarnation at this address
    // are not used again.
    state.loans.last_loan = random() >> 1;
    state.loans.last_request = random() >> 1;
    state.weight_leases.last_round = random() >> 1;
    state.weight_leases.first_round = state.weight_leases.last_round;
    state.hosts.last_id = random() >> 1;
    state.pools.last_request = random() >> 1;
    // Above the ids of earlier processes at this host.
    state.demand.last_report = to_microseconds(now.time_since_epoch());
}

void rates_tick(
    rates_state& state, const rates_inputs& inputs, time_point now,
    random_source& random, control_actions& actions)
{
    rates_context context{state, inputs, now, random, actions};
    state.last_tick_at = now;
    apply_configuration(context);
    if (state.settings.sharing == rate_sharing::by_demand)
    {
        tick_demand_shares(context);
        tick_token_pools(context);
        deliver_local_messages(context);
        return;
    }
    tick_roster(context);
    tick_weight_leases(context);
    deliver_local_messages(context);
    tick_loans(context);
    finish_event(context);
}

void rates_on_message(
    rates_state& state, const rates_inputs& inputs,
    const incoming_message& message, time_point now, random_source& random,
    control_actions& actions)
{
    rates_context context{state, inputs, now, random, actions};
    apply_configuration(context);
    decode_and_dispatch(context, message.from, message.payload);
    finish_event(context);
}

void rates_on_platform_reply(
    rates_state& state, const rates_inputs& inputs, const platform_reply& reply,
    time_point now, random_source& random, control_actions& actions)
{
    rates_context context{state, inputs, now, random, actions};
    on_roster_reply(context, reply);
    finish_event(context);
}

time_point rates_due(const rates_state& state)
{
    if (state.settings.sharing == rate_sharing::by_demand)
    {
        return std::min(demand_shares_due(state), token_pools_due(state));
    }
    return state.last_tick_at +
           (state.loans.busy ? busy_interval : idle_interval);
}

void rates_leave(
    rates_state& state, const rates_inputs& inputs, time_point now,
    random_source& random, control_actions& actions)
{
    rates_context context{state, inputs, now, random, actions};
    state.leaving = true;
    if (state.settings.sharing == rate_sharing::by_demand)
    {
        // The next tick selects the pools of other hosts.
        state.pools.hosts.updated_at = {};
        return;
    }
    tick_loans(context);
    deliver_local_messages(context);
    release_weight_leases(context);
    finish_event(context);
}

steward_lease rates_steward_lease(
    const rates_state& state, std::uint32_t shard, time_point now)
{
    return current_steward_lease(state, shard, now);
}

} // namespace cyclamenhold
