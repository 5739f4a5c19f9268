#include "core/claims/claims_context.hpp"
#include "core/claims/key.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

namespace wire_claims = wire::claims;

constexpr duration resend_interval = 150ms;
// Shorter than the resend interval: the receiver answered `not_steward`, so
// the request is sent to the current steward without waiting for a timeout.
constexpr duration not_steward_retry_delay = 50ms;
constexpr duration first_completion_interval = 200ms;
constexpr duration max_completion_interval = 5s;

bool is_alive(const claims_context& context, host_id host)
{
    if (host == context.state.settings.self)
    {
        return true;
    }
    const auto found = context.inputs.members.members.find(host);
    return found != context.inputs.members.members.end() &&
           found->second.state == member_state::alive;
}

// Returns the expected steward of a key's home. In this data centre, that is
// the steward reported by its members if it is alive, otherwise the rendezvous
// winner. For another data centre, it is the winner among its alive members.
host_id steward_of(const claims_context& context, const claim_home& home)
{
    const weight_lease_state& weight_leases =
        context.inputs.rates.weight_leases;
    if (home.data_centre == context.state.settings.data_centre)
    {
        const host_id reported = weight_leases.observed[home.shard].steward;
        return reported != host_id::none && is_alive(context, reported)
                   ? reported
                   : weight_leases.winners[home.shard];
    }
    std::vector<host_id> hosts;
    for (const auto& [host, entry] : context.inputs.members.members)
    {
        if (entry.data_centre == home.data_centre &&
            entry.state == member_state::alive)
        {
            hosts.push_back(host);
        }
    }
    return rendezvous_winner(home.shard, hosts);
}

void resolve_claim_request(
    claims_context& context, claim_token token, const claim_answer& answer)
{
    context.state.pending_requests.erase(token);
    context.state.answers.push_back(answer);
}

// Queues a withdrawal to each contacted steward. A steward may have granted
// the claim in an answer that was lost; this node does not use that claim.
void queue_withdrawals(
    claims_context& context, const pending_claim_request& pending)
{
    claims_state& state = context.state;
    for (const host_id host : pending.contacted_stewards)
    {
        pending_completion completion;
        completion.steward = host;
        completion.token = pending.request.token;
        completion.completion.workspace = pending.request.workspace;
        completion.completion.idempotency_key = pending.request.idempotency_key;
        completion.completion.result = outcome::not_run;
        completion.next_send_at = context.now;
        completion.interval = first_completion_interval;
        completion.expires_at = context.now + state.settings.claim_term;
        state.completions.emplace(++state.last_sequence, std::move(completion));
    }
}

void send_completion(
    claims_context& context, std::uint64_t sequence,
    pending_completion& pending)
{
    pending.next_send_at = context.now + pending.interval;
    pending.interval =
        std::min(pending.interval * 2, duration(max_completion_interval));
    const claim_completion& completion = pending.completion;
    wire_claims::completion_data message;
    message.sequence = sequence;
    message.token = pending.token;
    message.incarnation = context.inputs.members.self_incarnation;
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
    // A message to this host itself is handled at once and erases `pending`.
    const host_id steward = pending.steward;
    send_claims_message(context, steward, std::move(message));
}

} // namespace

void send_claim_request(claims_context& context, pending_claim_request& pending)
{
    pending.next_send_at = context.now + resend_interval;
    const claim_home home =
        home_of(context.inputs.current, pending.request.idempotency_key);
    const host_id steward = steward_of(context, home);
    if (steward == host_id::none)
    {
        return;
    }
    pending.contacted_stewards.insert(steward);
    wire_claims::question_data message;
    message.token = pending.request.token;
    message.incarnation = context.inputs.members.self_incarnation;
    message.workspace = static_cast<std::uint64_t>(pending.request.workspace);
    message.key = pending.request.idempotency_key;
    message.digest = pending.request.digest;
    send_claims_message(context, steward, std::move(message));
}

void tick_claim_requests(claims_context& context)
{
    claims_state& state = context.state;
    std::vector<claim_token> due;
    for (const auto& [token, pending] : state.pending_requests)
    {
        if (std::min(pending.next_send_at, pending.expires_at) <= context.now)
        {
            due.push_back(token);
        }
    }
    for (const claim_token token : due)
    {
        pending_claim_request& pending = state.pending_requests.at(token);
        if (pending.expires_at <= context.now)
        {
            queue_withdrawals(context, pending);
            resolve_claim_request(
                context, token, {token, claim_status::unavailable, {}, {}});
            continue;
        }
        send_claim_request(context, pending);
    }
}

void tick_completions(claims_context& context)
{
    claims_state& state = context.state;
    std::erase_if(
        state.completions,
        [&context](const auto& entry)
        {
            return entry.second.expires_at <= context.now;
        });
    std::vector<std::uint64_t> due;
    for (const auto& [sequence, pending] : state.completions)
    {
        if (pending.next_send_at <= context.now)
        {
            due.push_back(sequence);
        }
    }
    for (const std::uint64_t sequence : due)
    {
        send_completion(context, sequence, state.completions.at(sequence));
    }
}

void on_claim_answer(
    claims_context& context, host_id from, const wire_claims::answer_data& in)
{
    claims_state& state = context.state;
    const auto found = state.pending_requests.find(in.token);
    if (found == state.pending_requests.end())
    {
        return;
    }
    pending_claim_request& pending = found->second;
    if (in.status == wire_claims::answer_status::not_steward)
    {
        pending.next_send_at = std::min(
            pending.next_send_at, context.now + not_steward_retry_delay);
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
        answer.grant = {in.epoch, in.claim_id, pending.first_sent_at + term};
        state.held_claims[in.epoch][in.claim_id] = {
            from, answer.grant.valid_until};
    }
    resolve_claim_request(context, in.token, answer);
}

void on_completion_ack(
    claims_context& context, const wire_claims::completion_ack_data& in)
{
    context.state.completions.erase(in.sequence);
}

void claims_request(
    claims_state& state, const claims_inputs& inputs,
    const claim_request& request, time_point now, random_source& /*random*/,
    control_actions& actions)
{
    claims_context context{state, inputs, now, actions};
    pending_claim_request pending;
    pending.request = request;
    pending.first_sent_at = now;
    pending.expires_at =
        std::min(request.deadline, now + state.settings.claim_request_timeout);
    const auto [entry, added] = state.pending_requests.insert_or_assign(
        request.token, std::move(pending));
    send_claim_request(context, entry->second);
}

void claims_complete(
    claims_state& state, const claims_inputs& inputs,
    const claim_completion& completion, time_point now,
    random_source& /*random*/, control_actions& actions)
{
    const auto epoch = state.held_claims.find(completion.grant.steward_epoch);
    if (epoch == state.held_claims.end())
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
    pending.expires_at = now + 2 * state.settings.claim_term;
    epoch->second.erase(claim);
    state.completions.emplace(++state.last_sequence, std::move(pending));
    claims_context context{state, inputs, now, actions};
    tick_completions(context);
}

} // namespace cyclamenhold
