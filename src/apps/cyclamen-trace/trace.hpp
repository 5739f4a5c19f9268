// Runs cyclamen-trace.
#pragma once

#include "adapters/exit_code.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace cyclamenhold
{

// `words` are those after the program's name. The time line goes to `out`,
// what is missing from it to `errors` (and into the JSON).
[[nodiscard]] exit_code run_trace(
    const std::vector<std::string>& words, std::ostream& out,
    std::ostream& errors);

} // namespace cyclamenhold
