#include "core/claims/key.hpp"
#include "core/claims/step.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

namespace wire_claims = wire::claims;

constexpr duration resend_interval = 150ms;
constexpr duration other_steward_interval = 50ms;
constexpr duration first_completion_interval = 200ms;
constexpr duration longest_completion_interval = 5s;

bool is_alive(const claims_step& step, host_id host)
{
    if (host == step.state.settings.self)
    {
        return true;
    }
    const auto found = step.inputs.members.members.find(host);
    return found != step.inputs.members.members.end() &&
           found->second.state == member_state::alive;
}

// The host that should be the steward of a key's home.
host_id steward_of(const claims_step& step, const claim_home& home)
{
    const weight_lease_state& weight_leases = step.inputs.rates.weight_leases;
    if (home.data_centre == step.state.settings.data_centre)
    {
        const host_id observed = weight_leases.observed[home.shard].steward;
        return observed != host_id::none && is_alive(step, observed)
                   ? observed
                   : weight_leases.winners[home.shard];
    }
    std::vector<host_id> hosts;
    for (const auto& [host, entry] : step.inputs.members.members)
    {
        if (entry.data_centre == home.data_centre &&
            entry.state == member_state::alive)
        {
            hosts.push_back(host);
        }
    }
    return rendezvous_winner(home.shard, hosts);
}

void answer_question(
    claims_step& step, claim_token token, const claim_answer& answer)
{
    step.state.questions.erase(token);
    step.state.answers.push_back(answer);
}

// The steward may have granted what this node will not use.
void withdraw(claims_step& step, const pending_question& pending)
{
    claims_state& state = step.state;
    for (const host_id host : pending.asked)
    {
        pending_completion completion;
        completion.steward = host;
        completion.token = pending.question.token;
        completion.completion.workspace = pending.question.workspace;
        completion.completion.idempotency_key =
            pending.question.idempotency_key;
        completion.completion.result = outcome::not_run;
        completion.next_send_at = step.now;
        completion.interval = first_completion_interval;
        completion.give_up_at = step.now + state.settings.claim_term;
        state.completions.emplace(++state.last_sequence, std::move(completion));
    }
}

void send_completion(
    claims_step& step, std::uint64_t sequence, pending_completion& pending)
{
    pending.next_send_at = step.now + pending.interval;
    pending.interval =
        std::min(pending.interval * 2, duration(longest_completion_interval));
    const claim_completion& completion = pending.completion;
    wire_claims::completion_data message;
    message.sequence = sequence;
    message.token = pending.token;
    message.incarnation = step.inputs.members.self_incarnation;
    message.epoch = completion.grant.steward_epoch;
    message.claim_id = completion.grant.claim_id;
    message.workspace = static_cast<std::uint64_t>(completion.workspace);
    message.key = completion.idempotency_key;
    message.result = static_cast<std::uint8_t>(completion.result);
    if (completion.reply.body.size() <= max_stored_reply_bytes)
    {
        message.http_status = completion.reply.status;
        message.content_type = completion.reply.content_type;
        message.body = completion.reply.body;
    }
    // Sending to this host itself ends the entry at once.
    const host_id steward = pending.steward;
    send_claims_message(step, steward, std::move(message));
}

} // namespace

void send_question(claims_step& step, pending_question& pending)
{
    pending.next_send_at = step.now + resend_interval;
    const claim_home home =
        home_of(step.inputs.current, pending.question.idempotency_key);
    const host_id steward = steward_of(step, home);
    if (steward == host_id::none)
    {
        return;
    }
    pending.asked.insert(steward);
    wire_claims::question_data message;
    message.token = pending.question.token;
    message.incarnation = step.inputs.members.self_incarnation;
    message.workspace = static_cast<std::uint64_t>(pending.question.workspace);
    message.key = pending.question.idempotency_key;
    message.digest = pending.question.digest;
    send_claims_message(step, steward, std::move(message));
}

void keep_questions(claims_step& step)
{
    claims_state& state = step.state;
    std::vector<claim_token> due;
    for (const auto& [token, pending] : state.questions)
    {
        if (std::min(pending.next_send_at, pending.give_up_at) <= step.now)
        {
            due.push_back(token);
        }
    }
    for (const claim_token token : due)
    {
        pending_question& pending = state.questions.at(token);
        if (pending.give_up_at <= step.now)
        {
            withdraw(step, pending);
            answer_question(
                step, token, {token, claim_status::unavailable, {}, {}});
            continue;
        }
        send_question(step, pending);
    }
}

void keep_completions(claims_step& step)
{
    claims_state& state = step.state;
    std::erase_if(
        state.completions,
        [&step](const auto& entry)
        {
            return entry.second.give_up_at <= step.now;
        });
    std::vector<std::uint64_t> due;
    for (const auto& [sequence, pending] : state.completions)
    {
        if (pending.next_send_at <= step.now)
        {
            due.push_back(sequence);
        }
    }
    for (const std::uint64_t sequence : due)
    {
        send_completion(step, sequence, state.completions.at(sequence));
    }
}

void on_claim_answer(
    claims_step& step, host_id from, const wire_claims::answer_data& in)
{
    claims_state& state = step.state;
    const auto found = state.questions.find(in.token);
    if (found == state.questions.end())
    {
        return;
    }
    pending_question& pending = found->second;
    if (in.status == wire_claims::answer_status::not_steward)
    {
        pending.next_send_at =
            std::min(pending.next_send_at, step.now + other_steward_interval);
        return;
    }
    if (in.status > wire_claims::answer_status::mismatch)
    {
        return;
    }
    claim_answer answer;
    answer.token = in.token;
    answer.status = static_cast<claim_status>(in.status);
    answer.reply = {in.http_status, in.content_type, in.body};
    if (answer.status == claim_status::granted)
    {
        const duration term = std::min(
            duration(std::chrono::microseconds(
                std::min<std::uint64_t>(in.term_us, 3'600'000'000))),
            state.settings.claim_term);
        answer.grant = {in.epoch, in.claim_id, pending.first_asked_at + term};
        state.held[in.epoch][in.claim_id] = {from, answer.grant.valid_until};
    }
    answer_question(step, in.token, answer);
}

void on_completion_ack(
    claims_step& step, const wire_claims::completion_ack_data& in)
{
    step.state.completions.erase(in.sequence);
}

void claims_ask(
    claims_state& state, const claims_inputs& inputs,
    const claim_question& question, time_point now, random_source& /*random*/,
    control_actions& actions)
{
    claims_step step{state, inputs, now, actions};
    pending_question pending;
    pending.question = question;
    pending.first_asked_at = now;
    pending.give_up_at =
        std::min(question.deadline, now + state.settings.question_time);
    const auto [entry, added] =
        state.questions.insert_or_assign(question.token, std::move(pending));
    send_question(step, entry->second);
}

void claims_complete(
    claims_state& state, const claims_inputs& inputs,
    const claim_completion& completion, time_point now,
    random_source& /*random*/, control_actions& actions)
{
    const auto epoch = state.held.find(completion.grant.steward_epoch);
    if (epoch == state.held.end())
    {
        return;
    }
    const auto claim = epoch->second.find(completion.grant.claim_id);
    if (claim == epoch->second.end())
    {
        return;
    }
    pending_completion pending;
    pending.steward = claim->second.steward;
    pending.completion = completion;
    pending.next_send_at = now;
    pending.interval = first_completion_interval;
    pending.give_up_at = now + 2 * state.settings.claim_term;
    epoch->second.erase(claim);
    state.completions.emplace(++state.last_sequence, std::move(pending));
    claims_step step{state, inputs, now, actions};
    keep_completions(step);
}

} // namespace cyclamenhold
