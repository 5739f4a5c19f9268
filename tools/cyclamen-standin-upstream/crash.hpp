// Sudden ends of a stand-in upstream.
#pragma once

#include "upstream_state.hpp"

namespace cyclamenhold
{

// The exit code of a process that a request or a fault crashed.
constexpr int exit_crashed = 70;

// Does to the upstream what a poisoned request does.
void crash(upstream_state& upstream);

// Closes every open connection at once.
void close_connections(upstream_state& upstream);

} // namespace cyclamenhold
