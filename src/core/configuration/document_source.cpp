#include "core/configuration/document_source.hpp"

#include "core/configuration/chain_format.hpp"
#include "core/configuration/chain_platform.hpp"
#include "core/configuration/document_apply.hpp"
#include "core/configuration/document_calls.hpp"
#include "core/configuration/document_pull.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace cyclamenhold
{
namespace
{

using wire::configuration::message_body;

void emit(control_actions& actions, event_kind kind, std::string detail)
{
    event new_event;
    new_event.kind = kind;
    new_event.detail = std::move(detail);
    actions.events.push_back(std::move(new_event));
}

void record_platform_status(
    document_state& state, bool is_available, std::string detail,
    control_actions& actions)
{
    if (state.is_platform_available != is_available)
    {
        state.is_platform_available = is_available;
        emit(
            actions,
            is_available ? event_kind::platform_available
                         : event_kind::platform_unavailable,
            std::move(detail));
    }
}

std::string seconds_since(time_point start, time_point now)
{
    return absl::StrFormat("%.3f s", to_seconds(now - start));
}

void record_failure(
    document_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    record_platform_status(
        state, false,
        std::string(state.is_watch ? "watch: " : "read: ") +
            std::string(name_of(reply.status)) + " after " +
            seconds_since(state.call_started_at, now),
        actions);
    schedule_retry(state, now, random);
}

// The latest time at which the platform certainly had no newer version than
// `reply` contains: the start of the call, or the end of the wait for a watch
// that returned nothing after its full wait time.
time_point confirmed_at(
    const document_state& state, const platform_reply& reply, time_point now)
{
    const time_point waited = state.call_started_at + state.call_wait;
    return state.is_watch && reply.entries.empty() && now >= waited
               ? waited
               : state.call_started_at;
}

// Applies the newest document of a reply that can be parsed. Returns false if
// there is none and this node has no earlier configuration.
bool apply_entries(
    document_state& state, chain_state& chain, const platform_reply& reply,
    time_point now, control_actions& actions)
{
    // A watch may return several versions; the last one is the newest.
    for (auto entry = reply.entries.rbegin(); entry != reply.entries.rend();
         ++entry)
    {
        if (entry->key != state.settings.key || entry->removed ||
            entry->version <= state.rejected_version)
        {
            continue;
        }
        if (apply_document(
                state, chain, entry->value, "the platform", now, actions))
        {
            return true;
        }
        state.rejected_version = entry->version;
    }
    return chain.current->revision != 0;
}

bool contains_document(const document_state& state, const platform_reply& reply)
{
    return std::ranges::any_of(
        reply.entries,
        [&state](const platform_entry& entry)
        {
            return entry.key == state.settings.key;
        });
}

// Watches for the first document, from the revision of a list: a read that
// finds nothing has no revision. A document that can't be parsed is read again.
void await_document(
    document_state& state, const platform_reply& reply, time_point now,
    control_actions& actions)
{
    // A watch also returns other entries of operators.
    const bool is_empty = reply.status == platform_status::not_found ||
                          !contains_document(state, reply);
    state.is_document_absent =
        is_empty && (!state.is_watch || state.is_document_absent);
    if (!state.is_document_absent)
    {
        state.platform_revision = 0;
        state.next_call_at = now + shortest_document_backoff;
        return;
    }
    state.platform_revision = std::max(
        state.platform_revision,
        state.is_watch ? reply.revision : state.listed_revision);
    start_document_call(state, now, actions);
}

// Applies a list of the evacuations and reads the document next.
void apply_list(
    document_state& state, const platform_reply& reply, time_point now,
    control_actions& actions)
{
    if (reply.has_more)
    {
        event new_event;
        new_event.kind = event_kind::bad_input;
        new_event.detail = "the list of evacuations has more than one page";
        actions.events.push_back(std::move(new_event));
    }
    if (!state.settings.evacuation_prefix.empty())
    {
        apply_evacuation_entries(
            state.evacuations, state.settings.evacuation_prefix, reply.entries,
            reply.era, reply.revision, now);
    }
    state.listed_revision = std::max<std::uint64_t>(reply.revision, 1);
    if (state.is_document_absent && !contains_document(state, reply))
    {
        state.platform_revision = state.listed_revision;
    }
    start_document_call(state, now, actions);
}

// Starts the next call, or checks again later if this node follows watchers.
void continue_calls(
    document_state& state, const chain_state& chain,
    const membership_state& members, time_point now, control_actions& actions)
{
    constexpr duration check_interval = 100ms;
    if (must_call_platform(
            state.watchers, chain, members, state.behind_since, now))
    {
        start_document_call(state, now, actions);
        return;
    }
    state.next_call_at = now + check_interval;
}

} // namespace

bool reads_documents(const document_state& state)
{
    return !state.settings.key.empty();
}

void document_start(document_state& state, chain_state& chain, time_point now)
{
    state.next_call_at = now;
    state.answered_at = now;
    chain.applied_at = now;
}

void document_tick(
    document_state& state, chain_state& chain, const membership_state& members,
    time_point now, random_source& random, control_actions& actions)
{
    if (state.call_id != 0 && now >= state.call_expires_at)
    {
        platform_reply lost;
        lost.call_id = state.call_id;
        lost.status = platform_status::unavailable;
        document_on_platform_reply(
            state, chain, members, lost, now, random, actions);
    }
    if (state.call_id == 0 && now >= state.next_call_at)
    {
        continue_calls(state, chain, members, now, actions);
    }
    pull_if_behind(state, chain, members, now, actions);
}

void document_on_message(
    document_state& state, chain_state& chain, const incoming_message& message,
    time_point now, control_actions& actions)
{
    const auto decoded = decode_chain_message(message.payload);
    if (!decoded.has_value())
    {
        event new_event;
        new_event.kind = event_kind::bad_input;
        new_event.peer = message.from;
        new_event.detail = "configuration message";
        actions.events.push_back(std::move(new_event));
        return;
    }
    if (decoded->kind == message_body::pull)
    {
        answer_pull(state, chain, message.from, decoded->revision, actions);
    }
    if (decoded->kind == message_body::snapshot_part)
    {
        handle_snapshot_part(
            state, chain, message.from, *decoded, now, actions);
    }
}

void document_on_platform_reply(
    document_state& state, chain_state& chain, const membership_state& members,
    const platform_reply& reply, time_point now, random_source& random,
    control_actions& actions)
{
    if (reply.call_id != state.call_id)
    {
        return;
    }
    state.call_id = 0;
    if (reply.status == platform_status::history_lost)
    {
        // Reading the document covers the missed changes.
        state.platform_revision = 0;
        state.listed_revision = 0;
        state.next_call_at = now;
        return;
    }
    const bool answered = reply.status == platform_status::ok ||
                          reply.status == platform_status::not_found;
    if (!answered)
    {
        record_failure(state, reply, now, random, actions);
        return;
    }
    record_platform_status(
        state, true,
        "failed calls: " + std::to_string(state.failures) + ", last answer " +
            seconds_since(state.answered_at, now) + " ago",
        actions);
    record_document_answer(state, reply, now);
    if (state.is_list)
    {
        apply_list(state, reply, now, actions);
        return;
    }
    if (state.is_watch && !state.settings.evacuation_prefix.empty())
    {
        apply_evacuation_changes(
            state.evacuations, state.settings.evacuation_prefix, reply.entries,
            reply.era, now);
    }
    if (!apply_entries(state, chain, reply, now, actions))
    {
        await_document(state, reply, now, actions);
        return;
    }
    state.is_document_absent = false;
    state.next_call_at = now;
    chain.platform_read_at =
        std::max(chain.platform_read_at, confirmed_at(state, reply, now));
    // The first watch starts at the list, which is older than the document.
    const std::uint64_t known_revision =
        state.is_watch || state.listed_revision == 0 ? reply.revision
                                                     : state.listed_revision;
    state.platform_revision = std::max(state.platform_revision, known_revision);
    continue_calls(state, chain, members, now, actions);
}

time_point document_due(const document_state& state)
{
    return state.call_id != 0 ? state.call_expires_at : state.next_call_at;
}

void document_begin_era(
    document_state& state, std::uint64_t era, time_point now)
{
    state.era = era;
    // A reply of the earlier era may still arrive.
    state.call_id = 0;
    state.platform_revision = 0;
    state.listed_revision = 0;
    state.rejected_version = 0;
    state.next_call_at = now;
}

void document_exchange(
    document_state& state, chain_state& chain, membership_state& members,
    time_point now, random_source& random, control_actions& actions)
{
    publish_to_membership(chain, members);
    record_proof(chain, members);
    exchange_proofs(state.watchers, members, now, random, actions);
}

void exchange_evacuations(
    document_state& state, membership_state& members, time_point now)
{
    merge_evacuations(state.evacuations, members.received_evacuations, now);
    members.own_evacuations = state.evacuations.current;
}

time_point configuration_confirmed_at(
    const chain_state& chain, const membership_state& members)
{
    const bool is_newest = chain.current->revision >= members.highest_revision;
    return is_newest
               ? std::max(chain.platform_read_at, members.platform_read_at)
               : chain.platform_read_at;
}

} // namespace cyclamenhold
