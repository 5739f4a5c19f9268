#include "wire/frame_codec.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

// A frame with a body type but no body. The FlatBuffers verifier accepts it, so
// a faulty peer could make the decoder dereference a null body.
std::vector<std::uint8_t> frame_without_body(wire::frame_body type)
{
    flatbuffers::FlatBufferBuilder builder;
    wire::frameBuilder frame(builder);
    frame.add_body_type(type);
    builder.Finish(frame.Finish());
    return {
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

TEST(frame_codec, body_type_without_body_is_malformed)
{
    for (const wire::frame_body type : wire::EnumValuesframe_body())
    {
        SCOPED_TRACE(wire::EnumNameframe_body(type));
        EXPECT_EQ(decode_frame(frame_without_body(type)), nullptr);
    }
}

} // namespace
} // namespace cyclamenhold
