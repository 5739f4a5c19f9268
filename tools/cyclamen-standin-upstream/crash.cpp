#include "crash.hpp"

#include "adapters/clock.hpp"

#include <cstdlib>

namespace cyclamenhold
{

void close_connections(upstream_state& upstream)
{
    for (const auto& [number, close] : upstream.open_connections)
    {
        close();
    }
}

void crash(upstream_state& upstream)
{
    if (upstream.settings.crash == crash_kind::exit)
    {
        std::_Exit(exit_crashed);
    }
    upstream.faults.refuse_until = now() + upstream.settings.refuse_time;
    close_connections(upstream);
}

} // namespace cyclamenhold
