#include "core/intent/plan.hpp"

#include "core/intent/json_reader.hpp"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace cyclamenhold
{
namespace
{

// Domain separation: the fleet secret also authenticates other messages.
constexpr std::string_view mac_label = "cyclamenhold plan\n";
constexpr std::uint64_t highest_integer = std::uint64_t{1} << 62;
constexpr std::size_t max_token_size = 1'000'000;

absl::string_view view_of(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string mac_of(std::string_view payload, std::string_view fleet_secret)
{
    std::string message(mac_label);
    message += payload;
    std::string mac(EVP_MAX_MD_SIZE, '\0');
    unsigned int size = 0;
    HMAC(
        EVP_sha256(), fleet_secret.data(),
        static_cast<int>(fleet_secret.size()),
        reinterpret_cast<const unsigned char*>(message.data()), message.size(),
        reinterpret_cast<unsigned char*>(mac.data()), &size);
    mac.resize(size);
    return mac;
}

absl::Status malformed()
{
    return absl::InvalidArgumentError("the plan is malformed");
}

absl::StatusOr<plan> parse_plan(std::string_view payload)
{
    findings found;
    boost::json::value root;
    if (!parse_json_object(payload, root, found))
    {
        return malformed();
    }
    json_reader reader{&root.get_object(), "", &found, {}};
    plan value;
    value.base_revision =
        read_integer(reader, "base_revision", 0, highest_integer, 0);
    value.operation_id = read_string(reader, "operation_id");
    value.operations = read_string(reader, "operations");
    value.expires_at_ms =
        read_integer(reader, "expires_at_ms", 0, highest_integer, 0);
    if (!found.empty() || value.operation_id.empty())
    {
        return malformed();
    }
    return value;
}

} // namespace

planned_change plan_change(
    const configuration& present, std::string_view operations_text,
    std::string operation_id, std::uint64_t wall_clock_ms)
{
    planned_change planned;
    auto parsed = parse_operations(operations_text);
    planned.found = std::move(parsed.found);
    if (!planned.found.empty())
    {
        return planned;
    }
    configuration changed = present;
    planned.found = apply_operations(changed, parsed.operations);
    if (!planned.found.empty())
    {
        return planned;
    }
    planned.diff = diff_lines(present, changed);
    planned.new_plan.base_revision = present.revision;
    planned.new_plan.operation_id = std::move(operation_id);
    planned.new_plan.operations = to_json(parsed.operations);
    planned.new_plan.expires_at_ms = wall_clock_ms + plan_lifetime_ms;
    return planned;
}

std::string sign_plan(const plan& value, std::string_view fleet_secret)
{
    const boost::json::object object{
        {"base_revision", value.base_revision},
        {"operation_id", value.operation_id},
        {"operations", value.operations},
        {"expires_at_ms", value.expires_at_ms}};
    const std::string payload = boost::json::serialize(object);
    return absl::WebSafeBase64Escape(payload) + "." +
           absl::WebSafeBase64Escape(mac_of(payload, fleet_secret));
}

absl::StatusOr<plan> verify_plan(
    std::string_view token, std::string_view fleet_secret,
    std::uint64_t wall_clock_ms)
{
    const auto dot = token.find('.');
    if (token.size() > max_token_size || dot == std::string_view::npos)
    {
        return malformed();
    }
    std::string payload;
    std::string mac;
    if (!absl::WebSafeBase64Unescape(view_of(token.substr(0, dot)), &payload) ||
        !absl::WebSafeBase64Unescape(view_of(token.substr(dot + 1)), &mac))
    {
        return malformed();
    }
    const std::string expected = mac_of(payload, fleet_secret);
    if (mac.size() != expected.size() ||
        CRYPTO_memcmp(mac.data(), expected.data(), mac.size()) != 0)
    {
        return absl::PermissionDeniedError(
            "the plan was not made by this fleet, or was altered");
    }
    auto value = parse_plan(payload);
    if (value.ok() && value->expires_at_ms <= wall_clock_ms)
    {
        return absl::DeadlineExceededError("the plan has expired");
    }
    return value;
}

} // namespace cyclamenhold
