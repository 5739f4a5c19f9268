// A reply of a node to cyclamen-trace is either parsed or rejected with
// findings. A parsed page is the same after it is written and parsed again.
#include "core/events/event_json.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace cyclamenhold;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    static_cast<void>(read_event_query(text));
    const auto [page, found] = read_event_page(text);
    if (!found.empty())
    {
        return 0;
    }
    const std::string written = write_event_page(page);
    const auto again = read_event_page(written);
    if (!again.found.empty() || write_event_page(again.page) != written)
    {
        std::abort();
    }
    return 0;
}
