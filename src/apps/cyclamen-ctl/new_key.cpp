#include "new_key.hpp"

#include "core/request/request_tables.hpp"

#include <array>

#include <openssl/rand.h>

namespace cyclamenhold
{
namespace
{

constexpr std::size_t secret_bytes = 32;

std::string to_hexadecimal(const std::array<unsigned char, secret_bytes>& bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : bytes)
    {
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    return text;
}

} // namespace

absl::StatusOr<new_key> make_key(
    const std::string& id, const std::string& workspace,
    std::string_view fleet_secret)
{
    // The first underscore after the prefix ends the id.
    if (id.empty() || id.find('_') != std::string::npos)
    {
        return absl::InvalidArgumentError(
            "a key's id must not be empty or contain an underscore");
    }
    std::array<unsigned char, secret_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
    {
        return absl::InternalError(
            "cannot generate random bytes for the key's secret");
    }
    const std::string secret = to_hexadecimal(bytes);
    new_key created;
    created.key = "cyk_" + id + '_' + secret;
    created.entry.id = id;
    created.entry.workspace = workspace;
    created.entry.digest = digest_of_secret(fleet_secret, secret);
    return created;
}

} // namespace cyclamenhold
