// What the parts of the claims subsystem are handed while one event is handled.
#pragma once

#include "core/claims/claims.hpp"
#include "wire/generated/claims_generated.h"

namespace cyclamenhold
{

struct claims_step
{
    claims_state& state;
    const claims_inputs& inputs;
    time_point now;
    control_actions& actions;
};

// Sends a message; one to this host itself is handled at once.
void send_claims(claims_step& step, host_id to, wire::claims::bodyUnion body);

template <class Message>
void send_claims_message(claims_step& step, host_id to, Message message)
{
    wire::claims::bodyUnion body;
    body.Set(std::move(message));
    send_claims(step, to, std::move(body));
}

// The asking side.
void keep_questions(claims_step& step);
void keep_completions(claims_step& step);
void send_question(claims_step& step, pending_question& pending);
void on_claim_answer(
    claims_step& step, host_id from, const wire::claims::answer_data& in);
void on_completion_ack(
    claims_step& step, const wire::claims::completion_ack_data& in);

// The steward's side.
void on_claim_question(
    claims_step& step, host_id from, const wire::claims::question_data& in);
void on_claim_completion(
    claims_step& step, host_id from, const wire::claims::completion_data& in);
void keep_records(claims_step& step);

} // namespace cyclamenhold
