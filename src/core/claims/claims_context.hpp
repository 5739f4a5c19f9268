// State, inputs, time and actions of one event, for the parts of the claims
// subsystem.
#pragma once

#include "core/claims/claims.hpp"
#include "wire/generated/claims_generated.h"

namespace cyclamenhold
{

struct claims_context
{
    claims_state& state;
    const claims_inputs& inputs;
    time_point now;
    control_actions& actions;
};

// Sends a message. A message to this host itself is handled before the return.
void send_claims(
    claims_context& context, host_id to, wire::claims::bodyUnion body);

template <class Message>
void send_claims_message(claims_context& context, host_id to, Message message)
{
    wire::claims::bodyUnion body;
    body.Set(std::move(message));
    send_claims(context, to, std::move(body));
}

// The client side (claim_client.cpp).
void tick_claim_requests(claims_context& context);
void tick_completions(claims_context& context);
void send_claim_request(
    claims_context& context, pending_claim_request& pending);
void on_claim_answer(
    claims_context& context, host_id from, const wire::claims::answer_data& in);
void on_completion_ack(
    claims_context& context, const wire::claims::completion_ack_data& in);

// The steward side (steward.cpp).
void on_claim_request(
    claims_context& context, host_id from,
    const wire::claims::question_data& in);
void on_claim_completion(
    claims_context& context, host_id from,
    const wire::claims::completion_data& in);
void tick_records(claims_context& context);

} // namespace cyclamenhold
