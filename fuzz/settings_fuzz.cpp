// Arbitrary text is either parsed as settings or rejected with findings.
#include "adapters/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace cyclamenhold;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto [settings, found] = parse_settings(text);
    // Accepted settings have a host name, a platform port and the fleet secret.
    const bool complete =
        !settings.name.empty() && settings.platform.port != 0 &&
        (!settings.fleet_secret.empty() || !settings.fleet_secret_file.empty());
    if (found.empty() && !complete)
    {
        std::abort();
    }
    return 0;
}
