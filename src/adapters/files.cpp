#include "adapters/files.hpp"

#include <fstream>
#include <sstream>

namespace cyclamenhold
{

absl::StatusOr<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
    {
        return absl::NotFoundError(path + ": cannot be read");
    }
    return text.str();
}

} // namespace cyclamenhold
