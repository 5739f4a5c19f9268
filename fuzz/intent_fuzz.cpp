// Arbitrary text is either parsed as operations or rejected with findings.
// Parsed operations are the same after they are written and parsed again. They
// are either applied, or rejected without a change of the configuration.
#include "core/intent/operations.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace cyclamenhold;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto [operations, found] = parse_operations(text);
    if (!found.empty())
    {
        return 0;
    }
    const std::string written = to_json(operations);
    const auto again = parse_operations(written);
    if (!again.found.empty() || to_json(again.operations) != written)
    {
        std::abort();
    }
    configuration target;
    const configuration before = target;
    if (!apply_operations(target, operations).empty() && target != before)
    {
        std::abort();
    }
    return 0;
}
