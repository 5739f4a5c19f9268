// The operators' configuration as one document in the platform; each version
// replaces the previous one. Nodes watch it, or receive it from those that do
// (document_watchers.hpp). A node that the platform refuses receives it from
// peers. An older version is never applied. Runs on the control thread only.
#pragma once

#include "core/configuration/chain.hpp"
#include "core/configuration/document_watchers.hpp"
#include "core/placement/evacuations.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenhold
{

struct document_settings
{
    // The platform's key of the document; empty if operators use intents.
    std::string key;
    // The entries that name evacuated data centres begin with this; empty if
    // they are not watched. They are watched together with the document, by the
    // common beginning of all keys of operators.
    std::string evacuation_prefix;
    std::string operator_prefix;
    absl::StatusOr<configuration> (*read)(
        std::string_view text, std::string_view fleet_secret) = nullptr;
    std::string fleet_secret;
    // Used if the document has no data centres.
    std::vector<data_centre> data_centres;
    // How long one watch waits. A watch that ends without a change confirms
    // that this node has the newest configuration.
    duration watch_time = 2s;
};

struct document_state
{
    document_settings settings;

    // The fields below are private to the configuration code.
    // The current document as it was read, sent to peers on request.
    std::string text;
    // The outstanding call; zero if there is none.
    std::uint64_t call_id = 0;
    std::uint64_t last_call_id = 0;
    bool is_watch = false;
    // The outstanding call lists the evacuations.
    bool is_list = false;
    time_point call_started_at{};
    // How long the outstanding call waits for a change; zero for a read.
    duration call_wait{};
    time_point call_expires_at{};
    time_point next_call_at{};
    std::uint32_t failures = 0;
    // When the platform last answered a call, or the start of this node.
    time_point answered_at{};
    // How long the last answer took, without the wait of a watch.
    duration answer_delay{};
    // The watch returns changes after this revision of the platform; zero if
    // the document must be read first.
    std::uint64_t platform_revision = 0;
    // The revision of the last list of evacuations; zero if they must be
    // listed.
    std::uint64_t listed_revision = 0;
    // The platform has no document yet. It is watched from the revision of a
    // list.
    bool is_document_absent = false;
    // The platform's era; zero if it names none.
    std::uint64_t era = 0;
    evacuation_state evacuations;
    document_watchers watchers;
    // The platform's revision of the last document that failed to parse.
    std::uint64_t rejected_version = 0;
    bool is_platform_available = true;
    // When a peer first reported a newer version; zero if none has.
    time_point behind_since{};
    chain_pull pull;
    incoming_snapshot incoming;
};

[[nodiscard]] bool reads_documents(const document_state& state);

// Each of these replaces `chain.current` when it obtains a newer version.
void document_start(document_state& state, chain_state& chain, time_point now);
void document_tick(
    document_state& state, chain_state& chain, const membership_state& members,
    time_point now, random_source& random, control_actions& actions);
void document_on_message(
    document_state& state, chain_state& chain, const incoming_message& message,
    time_point now, control_actions& actions);
void document_on_platform_reply(
    document_state& state, chain_state& chain, const membership_state& members,
    const platform_reply& reply, time_point now, random_source& random,
    control_actions& actions);
[[nodiscard]] time_point document_due(const document_state& state);

// The platform has begun a new era: it returned from an older copy and gives
// revisions out again. Reads everything anew, and ignores the outstanding call.
void document_begin_era(
    document_state& state, std::uint64_t era, time_point now);

// Exchanges proofs of freshness and news with the other nodes of the data
// centre.
void document_exchange(
    document_state& state, chain_state& chain, membership_state& members,
    time_point now, random_source& random, control_actions& actions);

// Exchanges the newest list of evacuations with the membership, which passes it
// on to other members.
void exchange_evacuations(
    document_state& state, membership_state& members, time_point now);

// When the configuration of this node was last confirmed to be the newest, by
// its own read or by one of a peer while no peer has a newer version. Zero if
// never.
[[nodiscard]] time_point configuration_confirmed_at(
    const chain_state& chain, const membership_state& members);

} // namespace cyclamenhold
