#include "core/claims/records.hpp"

#include "core/claims/key.hpp"
#include "core/rates/lease_terms.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

constexpr std::size_t max_records = 50'000;
constexpr std::uint64_t claim_number_mask = (1ULL << 24) - 1;

// Whether a key without a record may have been claimed before.
enum class key_novelty : std::uint8_t
{
    unused,
    possibly_used,
    // Its time is in the future: a later steward could consider it unused.
    in_future
};

key_novelty novelty_of_ticket(
    const claim_decision_inputs& inputs, const claim_ticket& ticket)
{
    const bool known = ticket.data_centre == inputs.data_centre &&
                       ticket.shard == inputs.shard &&
                       ticket.epoch == inputs.lease.epoch &&
                       ticket.generation <= inputs.lease.generation &&
                       ticket.generation + 1 >= inputs.lease.generation;
    return known ? key_novelty::unused : key_novelty::possibly_used;
}

key_novelty novelty_of_time(
    const claim_decision_inputs& inputs, std::uint64_t issued_ms,
    time_point since, time_point now)
{
    if (issued_ms > inputs.wall_clock_ms + wall_clock_tolerance_ms)
    {
        return key_novelty::in_future;
    }
    const auto held_ms =
        static_cast<std::uint64_t>(to_milliseconds(now - since));
    // An earlier steward granted keys with a time of up to the tolerance ahead
    // of its own clock, and its clock may be ahead of this one by the tolerance
    // too.
    const std::uint64_t watermark =
        inputs.wall_clock_ms - held_ms + 2 * wall_clock_tolerance_ms;
    const auto retention_ms =
        static_cast<std::uint64_t>(to_milliseconds(inputs.retention));
    const bool recent = issued_ms + retention_ms > inputs.wall_clock_ms;
    return issued_ms > watermark && recent ? key_novelty::unused
                                           : key_novelty::possibly_used;
}

key_novelty novelty_of(
    const claim_decision_inputs& inputs, const std::string& key, time_point now)
{
    if (const auto ticket = parse_ticket(key))
    {
        return novelty_of_ticket(inputs, *ticket);
    }
    const time_point since = std::max(inputs.lease.since, inputs.home_since);
    if (const auto issued_ms = uuid_time_ms(key))
    {
        return novelty_of_time(inputs, *issued_ms, since, now);
    }
    const bool waited = now - since >= grantor_term(inputs.retention);
    return waited ? key_novelty::unused : key_novelty::possibly_used;
}

claim_decision decide_repeat(
    const claim_record& record, std::uint64_t digest,
    const claim_requester& requester, time_point now)
{
    if (record.digest != digest)
    {
        return {claim_status::mismatch, 0, {}, {}};
    }
    switch (record.state)
    {
    case claim_record_state::finished:
        return {claim_status::finished, 0, {}, record.reply};
    case claim_record_state::unknown:
        return {claim_status::unknown, 0, {}, {}};
    case claim_record_state::in_progress:
        break;
    }
    if (now >= record.term_ends_at)
    {
        return {claim_status::unknown, 0, {}, {}};
    }
    if (record.requester == requester)
    {
        return {
            claim_status::granted,
            record.claim_id,
            std::max(duration::zero(), holder_term(record.term_ends_at - now)),
            {}};
    }
    return {claim_status::in_progress, 0, {}, {}};
}

} // namespace

claim_decision decide_claim(
    claim_records& records, const claim_decision_inputs& inputs,
    const claim_key& claimed_key, std::uint64_t digest,
    const claim_requester& requester, time_point now)
{
    if (const auto found = records.entries.find(claimed_key);
        found != records.entries.end())
    {
        claim_decision decision =
            decide_repeat(found->second, digest, requester, now);
        if (decision.status == claim_status::granted &&
            found->second.epoch != inputs.lease.epoch)
        {
            // Another node may have held the steward lease in between.
            decision = {claim_status::unknown, 0, {}, {}};
        }
        return decision;
    }
    switch (novelty_of(inputs, claimed_key.key, now))
    {
    case key_novelty::possibly_used:
        return {claim_status::unknown, 0, {}, {}};
    case key_novelty::in_future:
        return {};
    case key_novelty::unused:
        break;
    }
    if (records.entries.size() >= max_records)
    {
        return {};
    }
    claim_record record;
    record.requester = requester;
    record.digest = digest;
    record.epoch = inputs.lease.epoch;
    record.claim_id = (static_cast<std::uint64_t>(inputs.data_centre) << 32) |
                      (static_cast<std::uint64_t>(inputs.shard) << 24) |
                      (++records.last_claim_number & claim_number_mask);
    record.granted_at = now;
    record.term_ends_at = now + grantor_term(inputs.claim_term);
    const std::uint64_t claim_id = record.claim_id;
    records.entries.emplace(claimed_key, std::move(record));
    return {claim_status::granted, claim_id, inputs.claim_term, {}};
}

void complete_claim(
    claim_records& records, const claim_key& claimed_key, std::uint64_t epoch,
    std::uint64_t claim_id, outcome result, const stored_reply& reply)
{
    const auto found = records.entries.find(claimed_key);
    if (found == records.entries.end() || found->second.epoch != epoch ||
        found->second.claim_id != claim_id ||
        found->second.state != claim_record_state::in_progress)
    {
        return;
    }
    claim_record& record = found->second;
    switch (result)
    {
    case outcome::not_run:
        records.entries.erase(found);
        return;
    case outcome::unknown:
        record.state = claim_record_state::unknown;
        return;
    case outcome::ran:
        record.state = claim_record_state::finished;
        if (reply.body.size() <= max_stored_reply_bytes)
        {
            record.reply = reply;
        }
        return;
    }
}

void withdraw_claim(
    claim_records& records, const claim_key& claimed_key,
    const claim_requester& requester)
{
    const auto found = records.entries.find(claimed_key);
    if (found != records.entries.end() &&
        found->second.requester == requester &&
        found->second.state == claim_record_state::in_progress)
    {
        records.entries.erase(found);
    }
}

void expire_claims(claim_records& records, duration retention, time_point now)
{
    std::erase_if(
        records.entries,
        [&](const auto& entry)
        {
            return now - entry.second.granted_at >= retention;
        });
}

} // namespace cyclamenhold
