// Reads whole files, such as settings and secrets.
#pragma once

#include <absl/status/statusor.h>

#include <string>

namespace cyclamenhold
{

// Returns the content of a file, or NotFound with the path in its message.
[[nodiscard]] absl::StatusOr<std::string> read_file(const std::string& path);

} // namespace cyclamenhold
