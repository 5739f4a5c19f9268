// Membership messages as plain structs, and their FlatBuffers encoding.
#pragma once

#include "core/membership/member_table.hpp"
#include "wire/generated/membership_generated.h"

#include <optional>
#include <span>
#include <vector>

namespace cyclamenhold
{

struct member_update
{
    member_status_report report;
    upstream_record upstream;
    // If false, only the report is sent, not the upstream.
    bool includes_upstream = false;
};

struct data_centre_age
{
    data_centre_id data_centre = data_centre_id::none;
    std::uint32_t age_ms = 0;
};

struct membership_message
{
    wire::membership::message_body kind =
        wire::membership::message_body::gossip;
    member_status_report sender;
    std::uint64_t sender_upstream_version = 0;
    std::uint64_t revision = 0;
    evacuation_list evacuations;
    // Sent in acks only; see merge_contacts.
    std::vector<data_centre_age> contacts;
    std::vector<member_update> updates;
    // For ping, ping_request and ack.
    std::uint64_t sequence = 0;
    // For ping_request.
    host_id target = host_id::none;
    // For digest.
    std::vector<std::uint32_t> buckets;
    bool is_reply = false;
};

[[nodiscard]] std::vector<std::uint8_t>
encode(const membership_message& message);

// Returns nothing if the bytes are not a complete and valid message.
[[nodiscard]] std::optional<membership_message>
decode_membership_message(std::span<const std::uint8_t> bytes);

// Returns the largest number of bytes that an update adds to a message.
[[nodiscard]] std::size_t encoded_size(const member_update& update);

} // namespace cyclamenhold
