#include "core/claims/claims_context.hpp"
#include "core/claims/key.hpp"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

namespace wire_claims = wire::claims;

constexpr duration cleanup_interval = 10s;

// Keys are distributed over the data centres of the configuration by hash.
// When the data centres change, another one may have granted a claim on a key
// whose home is now here.
void update_homes(claims_context& context)
{
    XXH64_hash_t digest = 0;
    for (const auto& entry : context.inputs.current.data_centres)
    {
        digest =
            XXH3_64bits_withSeed(entry.name.data(), entry.name.size(), digest);
    }
    claims_state& state = context.state;
    if (digest == state.homes_digest)
    {
        return;
    }
    if (state.homes_digest != 0)
    {
        state.homes_changed_at = context.now;
    }
    state.homes_digest = digest;
}

// How long a record is stored. A ticket is valid for two generations.
duration record_lifetime(const claims_state& state)
{
    return std::max(state.settings.retention, 2 * claim_generation_time) +
           2 * state.settings.claim_term;
}

claim_requester requester_of(
    host_id from, std::uint64_t requester_incarnation, claim_token token)
{
    return {from, requester_incarnation, token};
}

} // namespace

void on_claim_request(
    claims_context& context, host_id from, const wire_claims::question_data& in)
{
    claims_state& state = context.state;
    update_homes(context);
    const claim_home home = home_of(context.inputs.current, in.key);
    const steward_lease lease =
        rates_steward_lease(context.inputs.rates, home.shard, context.now);
    wire_claims::answer_data answer;
    answer.token = in.token;
    if (home.data_centre != state.settings.data_centre || lease.epoch == 0)
    {
        answer.status = wire_claims::answer_status::not_steward;
        send_claims_message(context, from, std::move(answer));
        return;
    }
    const claim_decision_inputs decision_inputs{
        lease,
        state.homes_changed_at,
        state.settings.data_centre,
        home.shard,
        context.inputs.wall_clock_ms,
        state.settings.retention,
        state.settings.claim_term};
    const auto decision = decide_claim(
        state.records[home.shard], decision_inputs,
        {static_cast<workspace_id>(in.workspace), in.key}, in.digest,
        requester_of(from, in.incarnation, in.token), context.now);
    answer.status = static_cast<wire_claims::answer_status>(decision.status);
    answer.epoch = lease.epoch;
    answer.claim_id = decision.claim_id;
    answer.term_us = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(decision.term)
            .count());
    answer.http_status = decision.reply.status;
    answer.content_type = decision.reply.content_type;
    answer.body = decision.reply.body;
    const bool granted = decision.status == claim_status::granted;
    context.actions.events.push_back(
        {granted ? event_kind::claim_granted : event_kind::claim_refused,
         {},
         static_cast<workspace_id>(in.workspace),
         from,
         ""});
    send_claims_message(context, from, std::move(answer));
}

void on_claim_completion(
    claims_context& context, host_id from,
    const wire_claims::completion_data& in)
{
    const claim_home home = home_of(context.inputs.current, in.key);
    claim_records& records = context.state.records[home.shard];
    const claim_key claimed_key{
        static_cast<workspace_id>(in.workspace), in.key};
    if (in.claim_id == 0)
    {
        withdraw_claim(
            records, claimed_key, requester_of(from, in.incarnation, in.token));
    }
    else if (in.result <= static_cast<std::uint8_t>(outcome::unknown))
    {
        complete_claim(
            records, claimed_key, in.epoch, in.claim_id,
            static_cast<outcome>(in.result),
            {in.http_status, in.content_type, in.body});
    }
    wire_claims::completion_ack_data ack;
    ack.sequence = in.sequence;
    send_claims_message(context, from, ack);
}

void tick_records(claims_context& context)
{
    update_homes(context);
    claims_state& state = context.state;
    if (context.now < state.next_cleanup_at)
    {
        return;
    }
    state.next_cleanup_at = context.now + cleanup_interval;
    for (auto& records : state.records)
    {
        expire_claims(records, record_lifetime(state), context.now);
    }
    for (auto& [epoch, claims] : state.held_claims)
    {
        std::erase_if(
            claims,
            [&context, &state](const auto& entry)
            {
                return entry.second.valid_until + state.settings.retention <
                       context.now;
            });
    }
    std::erase_if(
        state.held_claims,
        [](const auto& entry)
        {
            return entry.second.empty();
        });
}

} // namespace cyclamenhold
