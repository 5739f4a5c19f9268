// Any bytes are verified as a frame or refused; every field of a verified one
// can be read.
#include "wire/generated/frames_generated.h"

#include <cstddef>
#include <cstdint>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    flatbuffers::Verifier verifier(data, size);
    if (!cyclamenhold::wire::VerifyframeBuffer(verifier))
    {
        return 0;
    }
    cyclamenhold::wire::frame_data fields;
    cyclamenhold::wire::Getframe(data)->UnPackTo(&fields);
    return 0;
}
