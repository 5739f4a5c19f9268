#include "core/claims/records.hpp"

#include "core/claims/key.hpp"
#include "core/rates/lease_terms.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

constexpr std::size_t max_records = 50'000;
constexpr std::uint64_t number_mask = (1ULL << 24) - 1;

// Whether a key without a record can never have been claimed before.
enum class key_novelty : std::uint8_t
{
    certain,
    uncertain,
    // It comes from the future, and later stewards could take it for new.
    premature
};

key_novelty
novelty_of_ticket(const claim_view& view, const claim_ticket& ticket)
{
    const bool known = ticket.data_centre == view.data_centre &&
                       ticket.shard == view.shard &&
                       ticket.epoch == view.office.epoch &&
                       ticket.generation <= view.office.generation &&
                       ticket.generation + 1 >= view.office.generation;
    return known ? key_novelty::certain : key_novelty::uncertain;
}

key_novelty novelty_of_time(
    const claim_view& view, std::uint64_t issued_ms, time_point since,
    time_point now)
{
    if (issued_ms > view.wall_clock_ms + wall_clock_tolerance_ms)
    {
        return key_novelty::premature;
    }
    const auto held_ms =
        static_cast<std::uint64_t>(to_milliseconds(now - since));
    // An earlier steward granted keys up to the tolerance ahead of its own
    // clock, which differs from this one's by as much again.
    const std::uint64_t watermark =
        view.wall_clock_ms - held_ms + 2 * wall_clock_tolerance_ms;
    const auto retention_ms =
        static_cast<std::uint64_t>(to_milliseconds(view.retention));
    const bool recent = issued_ms + retention_ms > view.wall_clock_ms;
    return issued_ms > watermark && recent ? key_novelty::certain
                                           : key_novelty::uncertain;
}

key_novelty
novelty_of(const claim_view& view, const std::string& key, time_point now)
{
    if (const auto ticket = parse_ticket(key))
    {
        return novelty_of_ticket(view, *ticket);
    }
    const time_point since = std::max(view.office.since, view.home_since);
    if (const auto issued_ms = uuid_time_ms(key))
    {
        return novelty_of_time(view, *issued_ms, since, now);
    }
    const bool waited = now - since >= grantor_term(view.retention);
    return waited ? key_novelty::certain : key_novelty::uncertain;
}

claim_decision decide_again(
    const claim_record& record, std::uint64_t digest, const claim_asker& asker,
    time_point now)
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
    if (record.asker == asker)
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
    claim_records& records, const claim_view& view, const claim_name& name,
    std::uint64_t digest, const claim_asker& asker, time_point now)
{
    if (const auto found = records.entries.find(name);
        found != records.entries.end())
    {
        claim_decision decision =
            decide_again(found->second, digest, asker, now);
        if (decision.status == claim_status::granted &&
            found->second.epoch != view.office.epoch)
        {
            // Another steward may have been in office since.
            decision = {claim_status::unknown, 0, {}, {}};
        }
        return decision;
    }
    switch (novelty_of(view, name.key, now))
    {
    case key_novelty::uncertain:
        return {claim_status::unknown, 0, {}, {}};
    case key_novelty::premature:
        return {};
    case key_novelty::certain:
        break;
    }
    if (records.entries.size() >= max_records)
    {
        return {};
    }
    claim_record record;
    record.asker = asker;
    record.digest = digest;
    record.epoch = view.office.epoch;
    record.claim_id = (static_cast<std::uint64_t>(view.data_centre) << 32) |
                      (static_cast<std::uint64_t>(view.shard) << 24) |
                      (++records.last_number & number_mask);
    record.granted_at = now;
    record.term_ends_at = now + grantor_term(view.claim_term);
    const std::uint64_t claim_id = record.claim_id;
    records.entries.emplace(name, std::move(record));
    return {claim_status::granted, claim_id, view.claim_term, {}};
}

void complete_claim(
    claim_records& records, const claim_name& name, std::uint64_t epoch,
    std::uint64_t claim_id, outcome result, const stored_reply& reply)
{
    const auto found = records.entries.find(name);
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
    claim_records& records, const claim_name& name, const claim_asker& asker)
{
    const auto found = records.entries.find(name);
    if (found != records.entries.end() && found->second.asker == asker &&
        found->second.state == claim_record_state::in_progress)
    {
        records.entries.erase(found);
    }
}

void forget_old_claims(
    claim_records& records, duration retention, time_point now)
{
    std::erase_if(
        records.entries,
        [&](const auto& entry)
        {
            return now - entry.second.granted_at >= retention;
        });
}

} // namespace cyclamenhold
