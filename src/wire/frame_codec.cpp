#include "wire/frame_codec.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

using builder = flatbuffers::FlatBufferBuilder;

// Finishes the frame and appends its length and its bytes to `out`.
template <class Body>
void append_frame(
    std::vector<std::uint8_t>& out, builder& fbb, wire::frame_body type,
    flatbuffers::Offset<Body> body, hybrid_time clock = hybrid_time::none)
{
    fbb.Finish(wire::Createframe(
        fbb, static_cast<std::uint64_t>(clock), type, body.Union()));
    const auto size = static_cast<std::uint32_t>(fbb.GetSize());
    for (std::size_t i = 0; i < frame_prefix_bytes; ++i)
    {
        out.push_back(static_cast<std::uint8_t>(size >> (8 * i)));
    }
    out.insert(
        out.end(), fbb.GetBufferPointer(), fbb.GetBufferPointer() + size);
}

flatbuffers::Offset<
    flatbuffers::Vector<flatbuffers::Offset<wire::header_field>>>
pack_headers(builder& fbb, const header_fields& headers)
{
    std::vector<flatbuffers::Offset<wire::header_field>> packed;
    packed.reserve(headers.size());
    for (const auto& [name, value] : headers)
    {
        const auto packed_name = fbb.CreateString(name);
        const auto packed_value = fbb.CreateString(value);
        packed.push_back(
            wire::Createheader_field(fbb, packed_name, packed_value));
    }
    return fbb.CreateVector(packed);
}

template <class Fields>
header_fields unpack_headers(const Fields* fields)
{
    header_fields headers;
    if (fields == nullptr)
    {
        return headers;
    }
    headers.reserve(fields->size());
    for (const auto* field : *fields)
    {
        if (field->name() != nullptr && field->value() != nullptr)
        {
            headers.push_back({field->name()->str(), field->value()->str()});
        }
    }
    return headers;
}

std::int64_t pack_size(const std::optional<std::uint64_t>& size)
{
    return size ? static_cast<std::int64_t>(*size) : -1;
}

std::optional<std::uint64_t> unpack_size(std::int64_t size)
{
    if (size < 0)
    {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(size);
}

std::uint64_t remaining_us(time_point until, time_point now)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::microseconds>(until - now);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, left.count()));
}

// Clamps `remaining` to a day, so that the sum cannot overflow.
time_point after_us(std::uint64_t remaining, time_point now)
{
    constexpr std::uint64_t day_us = 86'400'000'000ULL;
    return now + std::chrono::microseconds(std::min(remaining, day_us));
}

wire::load_sample pack_load(const load_report& load)
{
    return {load.in_flight,
            load.queued,
            load.limit,
            static_cast<std::uint8_t>(load.level.lowest_class),
            load.level.slots,
            static_cast<std::uint8_t>(load.downstream.lowest_class),
            load.downstream.slots};
}

std::uint32_t pack_latency(duration latency)
{
    const auto value =
        std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
    constexpr std::int64_t max = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, max));
}

priority_class unpack_priority(std::uint8_t value)
{
    return static_cast<priority_class>(
        std::min<std::uint8_t>(value, priority_class_count - 1));
}

std::string string_of(const flatbuffers::String* text)
{
    return text == nullptr ? std::string() : text->str();
}

bool has_required_fields(const wire::frame& frame)
{
    // The verifier accepts a body type without a body.
    if (frame.body() == nullptr)
    {
        return false;
    }
    switch (frame.body_type())
    {
    case wire::frame_body::NONE:
        return false;
    case wire::frame_body::hello:
        return frame.body_as_hello()->nonce() != nullptr;
    case wire::frame_body::proof:
        return frame.body_as_proof()->mac() != nullptr;
    case wire::frame_body::open_stream:
        return frame.body_as_open_stream()->method() != nullptr &&
               frame.body_as_open_stream()->target() != nullptr;
    case wire::frame_body::stream_data:
        return frame.body_as_stream_data()->bytes() != nullptr;
    case wire::frame_body::control_message:
        return frame.body_as_control_message()->payload() != nullptr;
    default:
        return frame.body() != nullptr;
    }
}

} // namespace

void encode_hello(
    std::vector<std::uint8_t>& out, host_id self, incarnation self_incarnation,
    std::span<const std::uint8_t> nonce)
{
    builder fbb(128);
    const auto packed = fbb.CreateVector(nonce.data(), nonce.size());
    append_frame(
        out, fbb, wire::frame_body::hello,
        wire::Createhello(
            fbb, peer_protocol_version, static_cast<std::uint64_t>(self),
            self_incarnation, packed));
}

void encode_proof(
    std::vector<std::uint8_t>& out, std::span<const std::uint8_t> mac)
{
    builder fbb(128);
    const auto packed = fbb.CreateVector(mac.data(), mac.size());
    append_frame(
        out, fbb, wire::frame_body::proof, wire::Createproof(fbb, packed));
}

void encode_open_stream(
    std::vector<std::uint8_t>& out, std::uint64_t stream,
    const request_context& context, const request_head& head,
    incarnation target_incarnation, time_point now, hybrid_time clock)
{
    builder fbb(1024);
    const auto key = fbb.CreateString(context.idempotency_key);
    const auto method = fbb.CreateString(head.method);
    const auto target = fbb.CreateString(head.target);
    const auto headers = pack_headers(fbb, head.headers);
    wire::open_streamBuilder open(fbb);
    open.add_stream(stream);
    open.add_trace_high(context.trace.high);
    open.add_trace_low(context.trace.low);
    open.add_workspace(static_cast<std::uint64_t>(context.workspace));
    open.add_service(static_cast<std::uint64_t>(context.service));
    open.add_priority(static_cast<std::uint8_t>(context.priority));
    open.add_slot(context.slot);
    open.add_depth(context.depth);
    open.add_never_repeat(context.never_repeat);
    open.add_retry_allowance(context.retry_allowance);
    open.add_remaining_us(remaining_us(context.deadline, now));
    open.add_digest(context.digest);
    open.add_idempotency_key(key);
    open.add_steward_epoch(context.claim.steward_epoch);
    open.add_claim_id(context.claim.claim_id);
    open.add_claim_remaining_us(remaining_us(context.claim.valid_until, now));
    open.add_method(method);
    open.add_target(target);
    open.add_headers(headers);
    open.add_body_size(pack_size(head.body_size));
    open.add_target_incarnation(target_incarnation);
    open.add_route(static_cast<std::uint32_t>(context.route));
    append_frame(out, fbb, wire::frame_body::open_stream, open.Finish(), clock);
}

void encode_stream_data(
    std::vector<std::uint8_t>& out, std::uint64_t stream,
    std::string_view bytes)
{
    builder fbb(bytes.size() + 128);
    const auto packed = fbb.CreateVector(
        reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    append_frame(
        out, fbb, wire::frame_body::stream_data,
        wire::Createstream_data(fbb, stream, packed));
}

void encode_stream_end(
    std::vector<std::uint8_t>& out, std::uint64_t stream, std::uint64_t length,
    std::uint64_t checksum)
{
    builder fbb(128);
    append_frame(
        out, fbb, wire::frame_body::stream_end,
        wire::Createstream_end(fbb, stream, length, checksum));
}

void encode_stream_credit(
    std::vector<std::uint8_t>& out, std::uint64_t stream, std::uint32_t bytes)
{
    builder fbb(128);
    append_frame(
        out, fbb, wire::frame_body::stream_credit,
        wire::Createstream_credit(fbb, stream, bytes));
}

void encode_cancel_stream(std::vector<std::uint8_t>& out, std::uint64_t stream)
{
    builder fbb(128);
    append_frame(
        out, fbb, wire::frame_body::cancel_stream,
        wire::Createcancel_stream(fbb, stream));
}

void encode_reply_head(
    std::vector<std::uint8_t>& out, std::uint64_t stream,
    const reply_head& head, const load_report& load,
    std::uint16_t returned_allowance, hybrid_time clock)
{
    builder fbb(512);
    const auto headers = pack_headers(fbb, head.headers);
    const auto sample = pack_load(load);
    append_frame(
        out, fbb, wire::frame_body::reply_head,
        wire::Createreply_head(
            fbb, stream, head.status, headers, pack_size(head.body_size),
            &sample, returned_allowance, pack_latency(load.latency)),
        clock);
}

void encode_stream_failed(
    std::vector<std::uint8_t>& out, std::uint64_t stream,
    const stream_failure& failure, const load_report& load,
    std::uint16_t returned_allowance)
{
    builder fbb(128);
    const auto sample = pack_load(load);
    append_frame(
        out, fbb, wire::frame_body::stream_failed,
        wire::Createstream_failed(
            fbb, stream, static_cast<std::uint8_t>(failure.reason),
            static_cast<std::uint8_t>(failure.result), &sample,
            returned_allowance));
}

void encode_heartbeat(
    std::vector<std::uint8_t>& out, std::uint64_t sequence, bool reply)
{
    builder fbb(128);
    append_frame(
        out, fbb, wire::frame_body::heartbeat,
        wire::Createheartbeat(fbb, sequence, reply));
}

void encode_control_message(
    std::vector<std::uint8_t>& out, message_kind kind,
    std::span<const std::uint8_t> payload)
{
    builder fbb(payload.size() + 128);
    const auto packed = fbb.CreateVector(payload.data(), payload.size());
    append_frame(
        out, fbb, wire::frame_body::control_message,
        wire::Createcontrol_message(
            fbb, static_cast<std::uint8_t>(kind), packed));
}

void encode_going_away(std::vector<std::uint8_t>& out)
{
    builder fbb(64);
    append_frame(
        out, fbb, wire::frame_body::going_away,
        wire::Creategoing_away(fbb, std::uint8_t{0}));
}

std::uint32_t frame_length(std::span<const std::uint8_t> prefix)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < frame_prefix_bytes; ++i)
    {
        length |= static_cast<std::uint32_t>(prefix[i]) << (8 * i);
    }
    return length;
}

const wire::frame* decode_frame(std::span<const std::uint8_t> payload)
{
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!wire::VerifyframeBuffer(verifier))
    {
        return nullptr;
    }
    const auto* frame = wire::Getframe(payload.data());
    return has_required_fields(*frame) ? frame : nullptr;
}

request_context context_of(const wire::open_stream& open, time_point now)
{
    request_context context;
    context.trace = {open.trace_high(), open.trace_low()};
    context.workspace = static_cast<workspace_id>(open.workspace());
    context.service = static_cast<service_id>(open.service());
    context.route = static_cast<route_id>(open.route());
    context.priority = unpack_priority(open.priority());
    context.slot =
        std::min<std::uint16_t>(open.slot(), admission_slot_count - 1);
    context.depth = open.depth();
    context.never_repeat = open.never_repeat();
    context.retry_allowance = open.retry_allowance();
    context.deadline = after_us(open.remaining_us(), now);
    context.digest = open.digest();
    context.idempotency_key = string_of(open.idempotency_key());
    context.claim.steward_epoch = open.steward_epoch();
    context.claim.claim_id = open.claim_id();
    context.claim.valid_until = after_us(open.claim_remaining_us(), now);
    return context;
}

request_head head_of(const wire::open_stream& open)
{
    return {
        string_of(open.method()), string_of(open.target()),
        unpack_headers(open.headers()), unpack_size(open.body_size())};
}

reply_head head_of(const wire::reply_head& reply)
{
    return {
        reply.status(), unpack_headers(reply.headers()),
        unpack_size(reply.body_size())};
}

load_report load_of(const wire::load_sample* sample)
{
    load_report load;
    if (sample == nullptr)
    {
        return load;
    }
    load.in_flight = sample->in_flight();
    load.queued = sample->queued();
    load.limit = sample->limit();
    load.level.lowest_class = unpack_priority(sample->lowest_class());
    load.level.slots = sample->slots();
    load.downstream.lowest_class = unpack_priority(sample->downstream_class());
    load.downstream.slots = sample->downstream_slots();
    return load;
}

load_report load_of(const wire::reply_head& reply)
{
    load_report load = load_of(reply.load());
    load.latency = std::chrono::microseconds(reply.latency_us());
    return load;
}

stream_failure failure_of(const wire::stream_failed& failed)
{
    constexpr auto last_reason = static_cast<std::uint8_t>(refusal::evacuated);
    constexpr auto last_outcome = static_cast<std::uint8_t>(outcome::unknown);
    stream_failure failure;
    failure.reason =
        static_cast<refusal>(std::min(failed.reason(), last_reason));
    failure.result =
        static_cast<outcome>(std::min(failed.outcome(), last_outcome));
    return failure;
}

} // namespace cyclamenhold
