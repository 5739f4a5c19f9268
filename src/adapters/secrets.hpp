// Secrets in the settings of a process.
#pragma once

#include "core/base/findings.hpp"

#include <string>

namespace cyclamenhold
{

// Returns the secret `direct`, or if that is empty, the content of `file`
// without trailing white space. Relative paths are resolved from the working
// directory. If the file cannot be read or the secret is shorter than 16
// characters, adds a finding and returns an empty string. The finding's place
// is `place`, with "_file" appended if the secret comes from the file.
[[nodiscard]] std::string resolve_secret(
    const std::string& direct, const std::string& file,
    const std::string& place, findings& found);

} // namespace cyclamenhold
