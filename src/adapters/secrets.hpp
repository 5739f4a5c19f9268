// Secrets that a process is given in its settings.
#pragma once

#include "core/base/findings.hpp"

#include <string>

namespace cyclamenhold
{

// A secret given directly, or read from its file without the white space at
// its end. Relative paths start at the working directory. Problems are added
// to `found` at `place`.
[[nodiscard]] std::string resolve_secret(
    const std::string& direct, const std::string& file,
    const std::string& place, findings& found);

} // namespace cyclamenhold
