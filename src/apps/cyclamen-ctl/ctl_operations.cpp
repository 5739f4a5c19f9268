#include "ctl_operations.hpp"

#include <string_view>

#include <boost/json.hpp>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;

json::string to_json(std::string_view text)
{
    return json::string(text.data(), text.size());
}

std::string to_hexadecimal(const key_digest& digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : digest)
    {
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    return text;
}

json::object put_workspace(const workspace& value)
{
    return {
        {"op", "put-workspace"},
        {"name", value.name},
        {"rate", value.rate},
        {"burst", value.burst}};
}

json::object put_key(const workspace_key& value)
{
    return {
        {"op", "put-key"},
        {"id", value.id},
        {"workspace", value.workspace},
        {"digest", to_hexadecimal(value.digest)}};
}

json::object put_route(const route& value)
{
    return {
        {"op", "put-route"},
        {"name", value.name},
        {"method", value.method},
        {"path_prefix", value.path_prefix},
        {"service", value.service},
        {"priority", to_json(name_of(value.priority))},
        {"open", value.open},
        {"never_repeat", value.never_repeat},
        {"retry_allowance", value.retry_allowance},
        {"deadline_ms", value.deadline.count()}};
}

json::object put_data_centre(const data_centre& value)
{
    return {
        {"op", "put-data-centre"},
        {"name", value.name},
        {"region", value.region},
        {"weight", value.weight}};
}

json::object
operation_of(const ctl_arguments& arguments, const workspace_key& key)
{
    switch (arguments.command)
    {
    case ctl_command::key_add:
        return put_key(key);
    case ctl_command::key_withdraw:
        return {{"op", "withdraw-key"}, {"id", arguments.subject}};
    case ctl_command::workspace_put:
        return put_workspace(arguments.workspace_value);
    case ctl_command::workspace_remove:
        return {{"op", "remove-workspace"}, {"name", arguments.subject}};
    case ctl_command::route_put:
        return put_route(arguments.route_value);
    case ctl_command::route_remove:
        return {{"op", "remove-route"}, {"name", arguments.subject}};
    case ctl_command::data_centre_put:
        return put_data_centre(arguments.data_centre_value);
    default:
        return {};
    }
}

} // namespace

std::string intent_of(const ctl_arguments& arguments, const workspace_key& key)
{
    const json::object intent{
        {"operations", json::array{operation_of(arguments, key)}}};
    return json::serialize(intent);
}

} // namespace cyclamenhold
