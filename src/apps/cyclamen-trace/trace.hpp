// Runs cyclamen-trace.
#pragma once

#include "adapters/exit_code.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace cyclamenhold
{

// Runs the command line `words`, without the program's name. Writes the time
// line to `out`, and the nodes with missing or overwritten events to `errors`
// and to the JSON.
[[nodiscard]] exit_code run_trace(
    const std::vector<std::string>& words, std::ostream& out,
    std::ostream& errors);

} // namespace cyclamenhold
