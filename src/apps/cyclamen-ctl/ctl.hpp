// Runs one command of cyclamen-ctl against the operators' API of a node.
#pragma once

#include "adapters/exit_code.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace cyclamenhold
{

// `words` are those after the program's name. Answers go to `out`, problems
// to `errors`.
[[nodiscard]] exit_code run_ctl(
    const std::vector<std::string>& words, std::ostream& out,
    std::ostream& errors);

} // namespace cyclamenhold
