// Simulated crashes of a stand-in upstream.
#pragma once

#include "upstream_state.hpp"

namespace cyclamenhold
{

// The exit code after a crash by a poisoned request or an injected fault.
constexpr int exit_crashed = 70;

// Crashes the upstream as its settings define: exits the process, or closes all
// connections and refuses new ones for the refuse time.
void crash(upstream_state& upstream);

// Closes every open connection immediately.
void close_connections(upstream_state& upstream);

} // namespace cyclamenhold
