// The quarantine messages between nodes and their encoding.
#pragma once

#include "core/quarantine/quarantine.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cyclamenhold
{

constexpr std::size_t max_reported_digests = 1024;

struct quarantine_message
{
    // The crash to report. Without it, the digests are cleared.
    std::optional<upstream_incarnation> crash;
    std::vector<std::uint64_t> digests;
    std::uint8_t hops = 0;
};

[[nodiscard]] std::vector<std::uint8_t>
encode_quarantine(const quarantine_message& message);

// Returns nothing when the bytes are malformed.
[[nodiscard]] std::optional<quarantine_message>
decode_quarantine(std::span<const std::uint8_t> payload);

} // namespace cyclamenhold
