// Arbitrary bytes are either decoded as a frame or rejected. Every part of a
// decoded frame can be read without a fault.
#include "wire/frame_codec.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace cyclamenhold;
    const wire::frame* const frame =
        decode_frame(std::span<const std::uint8_t>(data, size));
    if (frame == nullptr)
    {
        return 0;
    }
    if (const auto* const open = frame->body_as_open_stream())
    {
        static_cast<void>(context_of(*open, time_point{}));
        static_cast<void>(head_of(*open));
    }
    if (const auto* const reply = frame->body_as_reply_head())
    {
        static_cast<void>(head_of(*reply));
        static_cast<void>(load_of(*reply));
    }
    if (const auto* const failed = frame->body_as_stream_failed())
    {
        static_cast<void>(failure_of(*failed));
    }
    wire::frame_data fields;
    frame->UnPackTo(&fields);
    return 0;
}
