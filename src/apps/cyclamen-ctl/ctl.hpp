// Runs one command of cyclamen-ctl against the operators' API of a node.
#pragma once

#include "adapters/exit_code.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace cyclamenhold
{

// Runs the command line `words`, without the program's name. Writes replies to
// `out` and errors to `errors`.
[[nodiscard]] exit_code run_ctl(
    const std::vector<std::string>& words, std::ostream& out,
    std::ostream& errors);

} // namespace cyclamenhold
