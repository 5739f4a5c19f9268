#include "core/claims/claims.hpp"

#include "core/claims/claims_context.hpp"
#include "core/claims/key.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

namespace wire_claims = wire::claims;

void dispatch(
    claims_context& context, host_id from, const wire_claims::bodyUnion& body)
{
    switch (body.type)
    {
    case wire_claims::body::question:
        return on_claim_request(context, from, *body.Asquestion());
    case wire_claims::body::answer:
        return on_claim_answer(context, from, *body.Asanswer());
    case wire_claims::body::completion:
        return on_claim_completion(context, from, *body.Ascompletion());
    case wire_claims::body::completion_ack:
        return on_completion_ack(context, *body.Ascompletion_ack());
    case wire_claims::body::NONE:
        return;
    }
}

} // namespace

void send_claims(
    claims_context& context, host_id to, wire_claims::bodyUnion body)
{
    if (to == context.state.settings.self)
    {
        dispatch(context, to, body);
        return;
    }
    wire_claims::message_data message;
    message.body = std::move(body);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire_claims::message::Pack(builder, &message));
    context.actions.messages.push_back(
        {to,
         message_kind::claims,
         transport::stream,
         {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()}});
}

void claims_start(
    claims_state& state, const claims_settings& settings, time_point /*now*/,
    random_source& random, control_actions& /*actions*/)
{
    state.settings = settings;
    state.last_sequence = random() >> 1;
}

void claims_tick(
    claims_state& state, const claims_inputs& inputs, time_point now,
    random_source& /*random*/, control_actions& actions)
{
    claims_context context{state, inputs, now, actions};
    tick_records(context);
    tick_claim_requests(context);
    tick_completions(context);
}

void claims_on_message(
    claims_state& state, const claims_inputs& inputs,
    const incoming_message& message, time_point now, random_source& /*random*/,
    control_actions& actions)
{
    flatbuffers::Verifier verifier(
        message.payload.data(), message.payload.size());
    if (!wire_claims::VerifymessageBuffer(verifier))
    {
        actions.events.push_back(
            {event_kind::bad_input,
             {},
             {},
             message.from,
             "malformed claims message"});
        return;
    }
    claims_context context{state, inputs, now, actions};
    const auto decoded = wire_claims::UnPackmessage(message.payload.data());
    dispatch(context, message.from, decoded->body);
}

time_point claims_due(const claims_state& state)
{
    time_point due = state.next_cleanup_at;
    for (const auto& [token, pending] : state.pending_requests)
    {
        due = std::min({due, pending.next_send_at, pending.expires_at});
    }
    for (const auto& [sequence, pending] : state.completions)
    {
        due = std::min(due, pending.next_send_at);
    }
    return due;
}

std::string claims_issue_ticket(
    claims_state& state, const claims_inputs& inputs, random_source& random)
{
    const auto& stewards = inputs.rates.weight_leases.observed;
    std::vector<std::uint32_t> shards;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if (stewards[shard].epoch != 0 &&
            stewards[shard].steward != host_id::none)
        {
            shards.push_back(shard);
        }
    }
    if (shards.empty())
    {
        return {};
    }
    const std::uint32_t shard = shards[random_below(random, shards.size())];
    return to_string(claim_ticket{
        state.settings.data_centre, shard, stewards[shard].epoch,
        stewards[shard].generation, random()});
}

bool claims_accept_at_gate(
    claims_state& state, const claim_grant& grant, time_point now)
{
    if (grant.steward_epoch == 0)
    {
        return true;
    }
    std::uint64_t& newest = state.gate_epochs[claim_scope(grant.claim_id)];
    if (grant.steward_epoch < newest || now >= grant.valid_until)
    {
        return false;
    }
    newest = grant.steward_epoch;
    return true;
}

} // namespace cyclamenhold
