// The byte buffer of the adapters.
#pragma once

#include <cstdint>
#include <vector>

namespace cyclamenhold
{

using byte_buffer = std::vector<std::uint8_t>;

} // namespace cyclamenhold
