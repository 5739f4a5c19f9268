// How changes and snapshots are written: as messages between nodes, and as
// values in the platform.
#pragma once

#include "core/configuration/chain.hpp"
#include "wire/generated/configuration_generated.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

constexpr std::string_view change_prefix = "change/";
constexpr std::string_view snapshot_head_key = "snapshot-head";

// Zero-padded, so that keys sort by revision.
[[nodiscard]] std::string change_key(std::uint64_t revision);
[[nodiscard]] std::string
snapshot_part_key(std::uint64_t revision, std::uint32_t part);

// The chain's hash after a change.
[[nodiscard]] std::uint64_t hash_after(const chain_change& change);

// A change as a value in the platform.
[[nodiscard]] std::string to_value(const chain_change& change);
[[nodiscard]] std::optional<chain_change> parse_change(std::string_view value);

[[nodiscard]] std::string to_value(const snapshot_head& head);
[[nodiscard]] std::optional<snapshot_head>
parse_snapshot_head(std::string_view value);

// A configuration's JSON text, in pieces that fit into a value or a message.
[[nodiscard]] std::vector<std::string> split_snapshot(const std::string& text);

// A message between nodes; only the part that `kind` names is of meaning.
struct chain_message
{
    wire::configuration::message_body kind =
        wire::configuration::message_body::head;
    // Of head: the revision; of pull: the one after which changes are wanted.
    std::uint64_t revision = 0;
    // Of head (at most one) and changes.
    std::vector<chain_change> changes;
    // Of snapshot_part.
    snapshot_head snapshot;
    std::uint32_t part = 0;
    std::string bytes;
};

[[nodiscard]] std::vector<std::uint8_t> encode(const chain_message& message);
[[nodiscard]] std::optional<chain_message>
decode_chain_message(std::span<const std::uint8_t> bytes);

} // namespace cyclamenhold
