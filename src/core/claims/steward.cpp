#include "core/claims/key.hpp"
#include "core/claims/step.hpp"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

namespace wire_claims = wire::claims;

constexpr duration cleanup_interval = 10s;

// Keys are hashed over the data centres of the configuration. When these
// change, another data centre may have granted what is now asked here.
void follow_homes(claims_step& step)
{
    XXH64_hash_t digest = 0;
    for (const auto& entry : step.inputs.current.data_centres)
    {
        digest =
            XXH3_64bits_withSeed(entry.name.data(), entry.name.size(), digest);
    }
    claims_state& state = step.state;
    if (digest == state.homes_digest)
    {
        return;
    }
    if (state.homes_digest != 0)
    {
        state.homes_since = step.now;
    }
    state.homes_digest = digest;
}

// How long a record may be needed: a ticket is good for two generations.
duration record_time(const claims_state& state)
{
    return std::max(state.settings.retention, 2 * claim_generation_time) +
           2 * state.settings.claim_term;
}

claim_asker asker_of(host_id from, std::uint64_t life, claim_token token)
{
    return {from, life, token};
}

} // namespace

void on_claim_question(
    claims_step& step, host_id from, const wire_claims::question_data& in)
{
    claims_state& state = step.state;
    follow_homes(step);
    const claim_home home = home_of(step.inputs.current, in.key);
    const steward_lease office =
        rates_steward_lease(step.inputs.rates, home.shard, step.now);
    wire_claims::answer_data answer;
    answer.token = in.token;
    if (home.data_centre != state.settings.data_centre || office.epoch == 0)
    {
        answer.status = wire_claims::answer_status::not_steward;
        send_claims_message(step, from, std::move(answer));
        return;
    }
    const claim_view view{
        office,
        state.homes_since,
        state.settings.data_centre,
        home.shard,
        step.inputs.wall_clock_ms,
        state.settings.retention,
        state.settings.claim_term};
    const auto decision = decide_claim(
        state.records[home.shard], view,
        {static_cast<workspace_id>(in.workspace), in.key}, in.digest,
        asker_of(from, in.incarnation, in.token), step.now);
    answer.status = static_cast<wire_claims::answer_status>(decision.status);
    answer.epoch = office.epoch;
    answer.claim_id = decision.claim_id;
    answer.term_us = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(decision.term)
            .count());
    answer.http_status = decision.reply.status;
    answer.content_type = decision.reply.content_type;
    answer.body = decision.reply.body;
    const bool granted = decision.status == claim_status::granted;
    step.actions.events.push_back(
        {granted ? event_kind::claim_granted : event_kind::claim_refused,
         {},
         static_cast<workspace_id>(in.workspace),
         from,
         ""});
    send_claims_message(step, from, std::move(answer));
}

void on_claim_completion(
    claims_step& step, host_id from, const wire_claims::completion_data& in)
{
    const claim_home home = home_of(step.inputs.current, in.key);
    claim_records& records = step.state.records[home.shard];
    const claim_name name{static_cast<workspace_id>(in.workspace), in.key};
    if (in.claim_id == 0)
    {
        withdraw_claim(records, name, asker_of(from, in.incarnation, in.token));
    }
    else if (in.result <= static_cast<std::uint8_t>(outcome::unknown))
    {
        complete_claim(
            records, name, in.epoch, in.claim_id,
            static_cast<outcome>(in.result),
            {in.http_status, in.content_type, in.body});
    }
    wire_claims::completion_ack_data ack;
    ack.sequence = in.sequence;
    send_claims_message(step, from, ack);
}

void keep_records(claims_step& step)
{
    follow_homes(step);
    claims_state& state = step.state;
    if (step.now < state.next_cleanup_at)
    {
        return;
    }
    state.next_cleanup_at = step.now + cleanup_interval;
    for (auto& records : state.records)
    {
        forget_old_claims(records, record_time(state), step.now);
    }
    for (auto& [epoch, claims] : state.held)
    {
        std::erase_if(
            claims,
            [&step, &state](const auto& entry)
            {
                return entry.second.valid_until + state.settings.retention <
                       step.now;
            });
    }
    std::erase_if(
        state.held,
        [](const auto& entry)
        {
            return entry.second.empty();
        });
}

} // namespace cyclamenhold
