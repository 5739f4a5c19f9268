// Files that are read at start: settings and secrets.
#pragma once

#include <absl/status/statusor.h>

#include <string>

namespace cyclamenhold
{

// The whole text of a file; NotFound names the path.
[[nodiscard]] absl::StatusOr<std::string> read_file(const std::string& path);

} // namespace cyclamenhold
