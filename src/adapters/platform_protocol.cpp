#include "adapters/platform_protocol.hpp"

#include "core/base/findings.hpp"

#include <boost/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <optional>

namespace cyclamenhold
{
namespace json = boost::json;

namespace
{

constexpr std::string_view target_prefix = "/v1/kv/";
// Base64 turns three bytes into four characters.
constexpr std::size_t base64_input_group = 3;
constexpr std::size_t base64_output_group = 4;

bool is_plain_text(std::string_view bytes)
{
    return std::ranges::all_of(
        bytes,
        [](char character)
        {
            return character >= ' ' && character <= '~';
        });
}

std::string to_base64(std::string_view bytes)
{
    const std::size_t groups =
        (bytes.size() + base64_input_group - 1) / base64_input_group;
    // EVP_EncodeBlock ends its output with a zero byte.
    std::string text(groups * base64_output_group + 1, '\0');
    const int size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()),
        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    if (text.size() % base64_output_group != 0)
    {
        return std::nullopt;
    }
    std::string bytes(
        text.size() / base64_output_group * base64_input_group, '\0');
    const int size = EVP_DecodeBlock(
        reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()),
        static_cast<int>(text.size()));
    if (size < 0)
    {
        return std::nullopt;
    }
    // EVP_DecodeBlock counts the padding as zero bytes.
    const auto padding = std::min<std::size_t>(
        2, text.size() - std::min(text.size(), text.find_last_not_of('=') + 1));
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

// Text goes as it is, anything else as base64 in a member of its own.
void put_bytes(
    json::object& object, std::string_view name, std::string_view bytes)
{
    if (is_plain_text(bytes))
    {
        object[name] = json::string_view(bytes.data(), bytes.size());
        return;
    }
    object[std::string(name) + "_base64"] = to_base64(bytes);
}

// Reads the members of one object and collects what is wrong with them.
struct object_reader
{
    const json::object& object;
    findings found;
};

std::uint64_t read_number(object_reader& reader, std::string_view name)
{
    const json::value* member = reader.object.if_contains(name);
    if (member == nullptr)
    {
        return 0;
    }
    json::error_code error;
    const auto number = member->to_number<std::uint64_t>(error);
    if (error)
    {
        add_finding(
            reader.found, "/" + std::string(name), "must be a whole number");
    }
    return number;
}

duration read_milliseconds(object_reader& reader, std::string_view name)
{
    // A century; larger values would overflow the clock's type.
    constexpr std::uint64_t longest = 100ULL * 365 * 24 * 3600 * 1000;
    return std::chrono::milliseconds(
        std::min(read_number(reader, name), longest));
}

std::string read_bytes(object_reader& reader, std::string_view name)
{
    if (const json::value* plain = reader.object.if_contains(name))
    {
        if (const json::string* text = plain->if_string())
        {
            return std::string(text->data(), text->size());
        }
        add_finding(reader.found, "/" + std::string(name), "must be a string");
        return {};
    }
    const std::string encoded_name = std::string(name) + "_base64";
    const json::value* encoded = reader.object.if_contains(encoded_name);
    if (encoded == nullptr)
    {
        return {};
    }
    const json::string* text = encoded->if_string();
    auto bytes =
        text == nullptr
            ? std::nullopt
            : from_base64(std::string_view(text->data(), text->size()));
    if (!bytes)
    {
        add_finding(reader.found, "/" + encoded_name, "must be base64");
        return {};
    }
    return *std::move(bytes);
}

absl::StatusOr<json::object> parse_object(std::string_view body)
{
    json::error_code error;
    json::value value =
        json::parse(json::string_view(body.data(), body.size()), error);
    if (error)
    {
        return absl::InvalidArgumentError(error.message());
    }
    if (!value.is_object())
    {
        return absl::InvalidArgumentError("must be an object");
    }
    return std::move(value.get_object());
}

absl::Status status_of(const findings& found)
{
    if (found.empty())
    {
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError(to_string(found));
}

json::object encode_entry(const platform_entry& entry)
{
    json::object object;
    put_bytes(object, "key", entry.key);
    put_bytes(object, "value", entry.value);
    object["version"] = entry.version;
    return object;
}

void decode_entries(object_reader& reader, platform_reply& reply)
{
    const json::value* member = reader.object.if_contains("entries");
    if (member == nullptr || !member->is_array())
    {
        add_finding(reader.found, "/entries", "must be an array");
        return;
    }
    for (const json::value& item : member->get_array())
    {
        if (!item.is_object())
        {
            add_finding(reader.found, "/entries", "must hold objects");
            continue;
        }
        object_reader entry{item.get_object(), {}};
        platform_entry decoded;
        decoded.key = read_bytes(entry, "key");
        decoded.value = read_bytes(entry, "value");
        decoded.version = read_number(entry, "version");
        reply.entries.push_back(std::move(decoded));
        reader.found.insert(
            reader.found.end(), entry.found.begin(), entry.found.end());
    }
}

} // namespace

std::string platform_target(platform_operation operation)
{
    return std::string(target_prefix) + std::string(name_of(operation));
}

std::string encode_platform_call(const platform_call& call)
{
    json::object object;
    put_bytes(object, "key", call.key);
    if (call.operation == platform_operation::compare_and_swap)
    {
        put_bytes(object, "value", call.value);
    }
    object["expected_version"] = call.expected_version;
    object["lease"] = call.lease;
    object["lease_time_ms"] = to_milliseconds(call.lease_time);
    object["wait_ms"] = to_milliseconds(call.wait);
    object["timeout_ms"] = to_milliseconds(call.timeout);
    object["limit"] = call.limit;
    return json::serialize(object);
}

absl::StatusOr<platform_call>
decode_platform_call(std::string_view target, std::string_view body)
{
    if (!target.starts_with(target_prefix))
    {
        return absl::NotFoundError("no such path");
    }
    const auto operation =
        value_named<platform_operation>(target.substr(target_prefix.size()));
    if (!operation)
    {
        return absl::NotFoundError("no such operation");
    }
    const auto object = parse_object(body);
    if (!object.ok())
    {
        return object.status();
    }
    object_reader reader{*object, {}};
    platform_call call;
    call.operation = *operation;
    call.key = read_bytes(reader, "key");
    call.value = read_bytes(reader, "value");
    call.expected_version = read_number(reader, "expected_version");
    call.lease = read_number(reader, "lease");
    call.lease_time = read_milliseconds(reader, "lease_time_ms");
    call.wait = read_milliseconds(reader, "wait_ms");
    if (object->contains("timeout_ms"))
    {
        call.timeout = read_milliseconds(reader, "timeout_ms");
    }
    if (object->contains("limit"))
    {
        constexpr std::uint64_t most = 10'000;
        call.limit = static_cast<std::uint32_t>(
            std::min(read_number(reader, "limit"), most));
    }
    if (absl::Status status = status_of(reader.found); !status.ok())
    {
        return status;
    }
    return call;
}

std::string encode_platform_reply(const platform_reply& reply)
{
    json::object object;
    const std::string_view status = name_of(reply.status);
    object["status"] = json::string_view(status.data(), status.size());
    object["revision"] = reply.revision;
    object["lease"] = reply.lease;
    json::array entries;
    for (const platform_entry& entry : reply.entries)
    {
        entries.push_back(encode_entry(entry));
    }
    object["entries"] = std::move(entries);
    return json::serialize(object);
}

absl::StatusOr<platform_reply> decode_platform_reply(std::string_view body)
{
    const auto object = parse_object(body);
    if (!object.ok())
    {
        return object.status();
    }
    object_reader reader{*object, {}};
    platform_reply reply;
    const auto status =
        value_named<platform_status>(read_bytes(reader, "status"));
    if (!status)
    {
        add_finding(reader.found, "/status", "is not known");
    }
    reply.status = status.value_or(platform_status::unavailable);
    reply.revision = read_number(reader, "revision");
    reply.lease = read_number(reader, "lease");
    decode_entries(reader, reply);
    if (absl::Status error = status_of(reader.found); !error.ok())
    {
        return error;
    }
    return reply;
}

unsigned http_status_of(platform_status status)
{
    switch (status)
    {
    case platform_status::ok:
        return 200;
    case platform_status::not_found:
        return 404;
    case platform_status::conflict:
        return 409;
    case platform_status::lease_expired:
        return 410;
    case platform_status::unavailable:
        return 503;
    case platform_status::rejected:
        return 422;
    }
    return 500;
}

} // namespace cyclamenhold
