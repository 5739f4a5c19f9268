// Messages between nodes: the bytes of a FlatBuffers table and the kind that
// selects its schema.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/names.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

// The subsystem of a control message. Each subsystem has one schema in
// src/wire/schema, whose root table holds a union of its messages.
enum class message_kind : std::uint8_t
{
    membership = 1,
    configuration = 2,
    rates = 3,
    claims = 4,
    quarantine = 5,
    trees = 6
};

template <>
struct enum_names<message_kind>
{
    static constexpr std::array<std::pair<message_kind, std::string_view>, 6>
        table{
            {{message_kind::membership, "membership"},
             {message_kind::configuration, "configuration"},
             {message_kind::rates, "rates"},
             {message_kind::claims, "claims"},
             {message_kind::quarantine, "quarantine"},
             {message_kind::trees, "trees"}}};
};

// Datagrams can be lost, duplicated and reordered, and hold at most
// `max_datagram_payload` bytes. Stream messages arrive at most once and in
// order; when one is lost, its link is lost too.
enum class transport : std::uint8_t
{
    datagram,
    stream
};

constexpr std::size_t max_datagram_payload = 1200;

struct outgoing_message
{
    host_id to = host_id::none;
    message_kind kind = message_kind::membership;
    transport via = transport::datagram;
    std::vector<std::uint8_t> payload;
};

struct incoming_message
{
    // Authenticated by the link on which the message arrived.
    host_id from = host_id::none;
    message_kind kind = message_kind::membership;
    std::span<const std::uint8_t> payload;
};

} // namespace cyclamenhold
