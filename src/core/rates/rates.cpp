#include "core/rates/rates.hpp"

#include "core/rates/demand_shares.hpp"
#include "core/rates/step.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

namespace wire_rates = wire::rates;

constexpr duration busy_interval = 5ms;
constexpr duration idle_interval = 50ms;

void dispatch(rates_step& step, host_id from, const wire_rates::bodyUnion& body)
{
    switch (body.type)
    {
    case wire_rates::body::roster_query:
        return on_roster_query(step, from, *body.Asroster_query());
    case wire_rates::body::roster_answer:
        return on_roster_answer(step, from, *body.Asroster_answer());
    case wire_rates::body::pledge_request:
        return on_pledge_request(step, from, *body.Aspledge_request());
    case wire_rates::body::pledge_reply:
        return on_pledge_reply(step, from, *body.Aspledge_reply());
    case wire_rates::body::pledge_release:
        return on_pledge_release(step, from, *body.Aspledge_release());
    case wire_rates::body::loan_request:
        return on_loan_request(step, from, *body.Asloan_request());
    case wire_rates::body::loan_reply:
        return on_loan_reply(step, from, *body.Asloan_reply());
    case wire_rates::body::removal_query:
        return on_removal_query(step, from, *body.Asremoval_query());
    case wire_rates::body::removal_answer:
        return on_removal_answer(step, from, *body.Asremoval_answer());
    case wire_rates::body::demand_report:
        return on_demand_report(step, from, *body.Asdemand_report());
    case wire_rates::body::NONE:
        return;
    }
}

void decode_and_dispatch(
    rates_step& step, host_id from, std::span<const std::uint8_t> payload)
{
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!wire_rates::VerifymessageBuffer(verifier))
    {
        step.actions.events.push_back(
            {event_kind::bad_input, {}, {}, from, "malformed rates message"});
        return;
    }
    const auto message = wire_rates::UnPackmessage(payload.data());
    dispatch(step, from, message->body);
}

void deliver_local(rates_step& step)
{
    while (!step.state.local.empty())
    {
        const auto payload = std::move(step.state.local.front());
        step.state.local.pop_front();
        decode_and_dispatch(step, step.state.settings.self, payload);
    }
}

// Ends an event: what the limiter may hand out never outlasts a pledge given
// or a roster adopted in the same event.
void finish(rates_step& step)
{
    deliver_local(step);
    if (step.state.weights_changed)
    {
        step.state.weights_changed = false;
        set_allowances(step);
    }
}

// Follows the configuration: which workspaces there are and the share.
void follow_configuration(rates_step& step)
{
    rates_state& state = step.state;
    const configuration& current = step.inputs.current;
    if (state.revision == current.revision)
    {
        return;
    }
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        refill_shard(step, shard);
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
    limit_workspaces(step.inputs.limiter, ids, step.now);
    std::erase_if(
        state.loans.demand,
        [&state](const auto& entry)
        {
            return !state.workspaces.contains(entry.first);
        });
}

} // namespace

void send_rates(rates_step& step, host_id to, wire_rates::bodyUnion body)
{
    wire_rates::message_data message;
    message.body = std::move(body);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire_rates::message::Pack(builder, &message));
    std::vector<std::uint8_t> payload(
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize());
    if (to == step.state.settings.self)
    {
        step.state.local.push_back(std::move(payload));
        return;
    }
    step.actions.messages.push_back(
        {to, message_kind::rates, transport::stream, std::move(payload)});
}

void rates_start(
    rates_state& state, const rates_settings& settings, time_point now,
    random_source& random, control_actions& /*actions*/)
{
    state.settings = settings;
    state.hosts.started_at = now;
    state.hosts.next_call_at =
        now + std::chrono::milliseconds(random_below(random, 200));
    // Ids of an earlier life at this address must not be met again.
    state.loans.last_loan = random() >> 1;
    state.loans.last_request = random() >> 1;
    state.pledges.last_round = random() >> 1;
    state.pledges.first_round = state.pledges.last_round;
    state.hosts.last_id = random() >> 1;
}

void rates_tick(
    rates_state& state, const rates_inputs& inputs, time_point now,
    random_source& random, control_actions& actions)
{
    rates_step step{state, inputs, now, random, actions};
    state.last_tick_at = now;
    follow_configuration(step);
    if (state.settings.sharing == rate_sharing::by_demand)
    {
        keep_demand_shares(step);
        return;
    }
    keep_roster(step);
    keep_pledges(step);
    deliver_local(step);
    keep_loans(step);
    finish(step);
}

void rates_on_message(
    rates_state& state, const rates_inputs& inputs,
    const incoming_message& message, time_point now, random_source& random,
    control_actions& actions)
{
    rates_step step{state, inputs, now, random, actions};
    follow_configuration(step);
    decode_and_dispatch(step, message.from, message.payload);
    finish(step);
}

void rates_on_platform_reply(
    rates_state& state, const rates_inputs& inputs, const platform_reply& reply,
    time_point now, random_source& random, control_actions& actions)
{
    rates_step step{state, inputs, now, random, actions};
    on_roster_reply(step, reply);
    finish(step);
}

time_point rates_due(const rates_state& state)
{
    if (state.settings.sharing == rate_sharing::by_demand)
    {
        return demand_due(state);
    }
    return state.last_tick_at +
           (state.loans.busy ? busy_interval : idle_interval);
}

void rates_leave(
    rates_state& state, const rates_inputs& inputs, time_point now,
    random_source& random, control_actions& actions)
{
    rates_step step{state, inputs, now, random, actions};
    state.leaving = true;
    if (state.settings.sharing == rate_sharing::by_demand)
    {
        return;
    }
    keep_loans(step);
    deliver_local(step);
    release_pledges(step);
    finish(step);
}

steward_office
rates_office(const rates_state& state, std::uint32_t shard, time_point now)
{
    return office_of(state, shard, now);
}

} // namespace cyclamenhold
