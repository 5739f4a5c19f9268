#include "adapters/secrets.hpp"

#include "adapters/files.hpp"

namespace cyclamenhold
{
namespace
{

constexpr std::size_t min_secret_length = 16;

absl::StatusOr<std::string> read_secret_file(const std::string& path)
{
    const auto text = read_file(path);
    if (!text.ok())
    {
        return text.status();
    }
    const auto end = text->find_last_not_of(" \t\r\n");
    return end == std::string::npos ? std::string() : text->substr(0, end + 1);
}

} // namespace

std::string resolve_secret(
    const std::string& direct, const std::string& file,
    const std::string& place, findings& found)
{
    const std::string where = direct.empty() ? place + "_file" : place;
    const absl::StatusOr<std::string> secret =
        direct.empty() ? read_secret_file(file) : direct;
    if (!secret.ok())
    {
        add_finding(found, where, file + " cannot be read");
        return {};
    }
    if (secret->size() < min_secret_length)
    {
        add_finding(
            found, where,
            "must have at least " + std::to_string(min_secret_length) +
                " characters");
        return {};
    }
    return *secret;
}

} // namespace cyclamenhold
