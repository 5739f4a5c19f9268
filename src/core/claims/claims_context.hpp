// What the parts of the claims subsystem are handed while one event is handled.
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

// Sends a message; one to this host itself is handled at once.
void send_claims(
    claims_context& context, host_id to, wire::claims::bodyUnion body);

template <class Message>
void send_claims_message(claims_context& context, host_id to, Message message)
{
    wire::claims::bodyUnion body;
    body.Set(std::move(message));
    send_claims(context, to, std::move(body));
}

// The asking side.
void tick_claim_requests(claims_context& context);
void tick_completions(claims_context& context);
void send_claim_request(
    claims_context& context, pending_claim_request& pending);
void on_claim_answer(
    claims_context& context, host_id from, const wire::claims::answer_data& in);
void on_completion_ack(
    claims_context& context, const wire::claims::completion_ack_data& in);

// The steward's side.
void on_claim_request(
    claims_context& context, host_id from,
    const wire::claims::question_data& in);
void on_claim_completion(
    claims_context& context, host_id from,
    const wire::claims::completion_data& in);
void tick_records(claims_context& context);

} // namespace cyclamenhold
