// Frames between nodes: a 32-bit little-endian length, then a FlatBuffers
// table.
#pragma once

#include "core/base/request_context.hpp"
#include "core/events/hybrid_clock.hpp"
#include "core/routing/upstream.hpp"
#include "ports/messages.hpp"
#include "wire/generated/frames_generated.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

// A larger frame is a protocol error, upon which the link is closed.
constexpr std::uint32_t max_frame_bytes = 4 * 1024 * 1024;
constexpr std::size_t frame_prefix_bytes = 4;
constexpr std::uint16_t peer_protocol_version = 1;

struct header_field
{
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;

// The head of a request, as sent to the upstream's node. `body_size` is in
// bytes and empty if it is not known in advance.
struct request_head
{
    std::string method;
    std::string target;
    header_fields headers;
    std::optional<std::uint64_t> body_size;
};

struct reply_head
{
    std::uint16_t status = 200;
    header_fields headers;
    std::optional<std::uint64_t> body_size;
};

// The reason why a stream ended without a complete reply.
struct stream_failure
{
    refusal reason = refusal::upstream_failed;
    outcome result = outcome::unknown;
};

// Each encode function appends one frame with its length prefix to `out`.
void encode_hello(
    std::vector<std::uint8_t>& out, host_id self, incarnation self_incarnation,
    std::span<const std::uint8_t> nonce);
void encode_proof(
    std::vector<std::uint8_t>& out, std::span<const std::uint8_t> mac);
// Frames that open a stream or begin its reply carry the sender's hybrid clock,
// which orders the events of both nodes. The deadline and the end of the claim
// are encoded as the time that remains at `now`.
void encode_open_stream(
    std::vector<std::uint8_t>& out, std::uint64_t stream,
    const request_context& context, const request_head& head,
    incarnation target_incarnation, time_point now, hybrid_time clock);
void encode_stream_data(
    std::vector<std::uint8_t>& out, std::uint64_t stream,
    std::string_view bytes);
void encode_stream_end(
    std::vector<std::uint8_t>& out, std::uint64_t stream, std::uint64_t length,
    std::uint64_t checksum);
void encode_stream_credit(
    std::vector<std::uint8_t>& out, std::uint64_t stream, std::uint32_t bytes);
void encode_cancel_stream(std::vector<std::uint8_t>& out, std::uint64_t stream);
void encode_reply_head(
    std::vector<std::uint8_t>& out, std::uint64_t stream,
    const reply_head& head, const load_report& load,
    std::uint16_t returned_allowance, hybrid_time clock);
void encode_stream_failed(
    std::vector<std::uint8_t>& out, std::uint64_t stream,
    const stream_failure& failure, const load_report& load,
    std::uint16_t returned_allowance);
void encode_heartbeat(
    std::vector<std::uint8_t>& out, std::uint64_t sequence, bool reply);
void encode_control_message(
    std::vector<std::uint8_t>& out, message_kind kind,
    std::span<const std::uint8_t> payload);
void encode_going_away(std::vector<std::uint8_t>& out);

// The frame length in a prefix of frame_prefix_bytes bytes.
[[nodiscard]] std::uint32_t frame_length(std::span<const std::uint8_t> prefix);

// Verifies `payload` (without the prefix) and returns its table, or nullptr if
// it is malformed. Required fields of the body are never null in the result.
[[nodiscard]] const wire::frame*
decode_frame(std::span<const std::uint8_t> payload);

// Remaining times in the frame become points on the local clock; values out of
// range are clamped.
[[nodiscard]] request_context
context_of(const wire::open_stream& open, time_point now);
[[nodiscard]] request_head head_of(const wire::open_stream& open);
[[nodiscard]] reply_head head_of(const wire::reply_head& reply);
[[nodiscard]] load_report load_of(const wire::load_sample* sample);
[[nodiscard]] load_report load_of(const wire::reply_head& reply);
[[nodiscard]] stream_failure failure_of(const wire::stream_failed& failed);

} // namespace cyclamenhold
