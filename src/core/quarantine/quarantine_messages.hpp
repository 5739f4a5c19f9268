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
// Bounds the part of a table's suspects that a node which starts receives.
constexpr std::size_t max_copied_suspects = 256;

enum class quarantine_message_kind : std::uint8_t
{
    // Requests were in flight when an upstream crashed.
    crash_report,
    // Suspects ended without a crash.
    clearance,
    // Requests the receiver's table.
    table_request,
    table_copy
};

struct quarantined_request
{
    std::uint64_t digest = 0;
    // The rest of its quarantine.
    duration remaining{};
};

struct suspect_request
{
    std::uint64_t digest = 0;
    std::vector<upstream_incarnation> crashes;
    // The rest of its time as a suspect.
    duration remaining{};
};

struct quarantine_message
{
    quarantine_message_kind kind = quarantine_message_kind::clearance;
    // Of a crash report: the crash, and the time since then if the report is
    // repeated.
    upstream_incarnation crash;
    duration age{};
    // Of a crash report or a clearance.
    std::vector<std::uint64_t> digests;
    std::uint8_t hops = 0;
    // Of a request: the fingerprint of the sender's table, and whether the
    // sender has not obtained the fleet's table since its start.
    std::uint64_t fingerprint = 0;
    bool is_starting = false;
    // Of a copy: the sender's table, and whether it had obtained the fleet's.
    std::vector<quarantined_request> quarantined;
    std::vector<suspect_request> suspects;
    bool is_complete = false;
};

[[nodiscard]] std::vector<std::uint8_t>
encode_quarantine(const quarantine_message& message);

// Returns nothing when the bytes are malformed.
[[nodiscard]] std::optional<quarantine_message>
decode_quarantine(std::span<const std::uint8_t> payload);

} // namespace cyclamenhold
