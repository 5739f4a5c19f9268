// Encodes changes and snapshots as messages between nodes and as values in the
// platform.
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

// The revision is zero-padded, so that keys sort by revision.
[[nodiscard]] std::string change_key(std::uint64_t revision);
[[nodiscard]] std::string
snapshot_part_key(std::uint64_t revision, std::uint32_t part);

// The hash of the chain after `change`.
[[nodiscard]] std::uint64_t hash_after(const chain_change& change);

// The value of a change in the platform, and back; nothing if malformed.
[[nodiscard]] std::string to_value(const chain_change& change);
[[nodiscard]] std::optional<chain_change> parse_change(std::string_view value);

[[nodiscard]] std::string to_value(const snapshot_head& head);
[[nodiscard]] std::optional<snapshot_head>
parse_snapshot_head(std::string_view value);

// Splits the JSON text of a configuration into parts that fit into a value of
// the platform or a message.
[[nodiscard]] std::vector<std::string> split_snapshot(const std::string& text);

// A message between nodes; only the fields of its `kind` are used.
struct chain_message
{
    wire::configuration::message_body kind =
        wire::configuration::message_body::head;
    // head: the sender's revision. pull: changes after this one are requested.
    std::uint64_t revision = 0;
    // head (at most one) and changes.
    std::vector<chain_change> changes;
    // snapshot_part.
    snapshot_head snapshot;
    std::uint32_t part = 0;
    std::string bytes;
};

[[nodiscard]] std::vector<std::uint8_t> encode(const chain_message& message);
[[nodiscard]] std::optional<chain_message>
decode_chain_message(std::span<const std::uint8_t> bytes);

} // namespace cyclamenhold
