// The operators' configuration as one document in the platform, each version
// replacing the one before: watched by every node, passed on by peers to those
// that the platform refuses, never taken back to an older version. Runs on the
// control thread only.
#pragma once

#include "core/configuration/chain.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenhold
{

struct document_settings
{
    // The platform's key that holds the document; empty where operators use
    // intents.
    std::string key;
    absl::StatusOr<configuration> (*read)(
        std::string_view text, std::string_view fleet_secret) = nullptr;
    std::string fleet_secret;
    // Taken where the document names no data centres.
    std::vector<data_centre> data_centres;
    // How long one watch waits. Each that ends proves that the configuration
    // here is the newest.
    duration watch_time = 2s;
};

struct document_state
{
    document_settings settings;

    // What follows is used by the configuration code only.
    // The document in force, as it was read, for peers.
    std::string text;
    // The call under way; zero without one.
    std::uint64_t call_id = 0;
    std::uint64_t last_call_id = 0;
    bool is_watch = false;
    time_point call_started_at{};
    time_point call_expires_at{};
    time_point next_call_at{};
    std::uint32_t failures = 0;
    // Changes after this revision of the platform are watched for; zero when
    // the document must be read first.
    std::uint64_t platform_revision = 0;
    // The platform's revision of the last document that could not be read.
    std::uint64_t rejected_version = 0;
    bool is_platform_available = true;
    // Since when a peer is known to have a newer version.
    time_point behind_since{};
    chain_pull pull;
    incoming_snapshot incoming;
};

[[nodiscard]] bool reads_documents(const document_state& state);

// Each puts a newer configuration into `chain.current`.
void document_start(document_state& state, chain_state& chain, time_point now);
void document_tick(
    document_state& state, chain_state& chain, const membership_state& members,
    time_point now, random_source& random, control_actions& actions);
void document_on_message(
    document_state& state, chain_state& chain, const incoming_message& message,
    time_point now, control_actions& actions);
void document_on_platform_reply(
    document_state& state, chain_state& chain, const platform_reply& reply,
    time_point now, random_source& random, control_actions& actions);
[[nodiscard]] time_point document_due(const document_state& state);

// When the configuration here was last known to be the newest: read by this
// node, or by a peer that has the same version. The zero point when never.
[[nodiscard]] time_point configuration_confirmed_at(
    const chain_state& chain, const membership_state& members);

} // namespace cyclamenhold
