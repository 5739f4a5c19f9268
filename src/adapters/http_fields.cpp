#include "adapters/http_fields.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace cyclamenhold
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::string_view system_prefix = "cyclamen-";

std::string_view view_of(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool is_hop_by_hop(http::field name)
{
    static constexpr std::array names{
        http::field::connection,
        http::field::keep_alive,
        http::field::proxy_connection,
        http::field::transfer_encoding,
        http::field::te,
        http::field::trailer,
        http::field::upgrade,
        http::field::expect,
        http::field::content_length,
        http::field::host,
        http::field::authorization,
        http::field::proxy_authorization,
        http::field::proxy_authenticate};
    return std::ranges::find(names, name) != names.end();
}

// True for a field that the message's Connection field names.
bool is_connection_option(const http::fields& fields, std::string_view name)
{
    const auto options = fields[http::field::connection];
    if (options.empty())
    {
        return false;
    }
    return http::token_list(options).exists({name.data(), name.size()});
}

bool is_system_field(std::string_view name)
{
    return name.size() >= system_prefix.size() &&
           beast::iequals(
               {name.data(), system_prefix.size()},
               {system_prefix.data(), system_prefix.size()});
}

// True for a field that only a node sets; a caller's value is replaced or
// dropped.
bool is_set_by_node(const header_names& names, std::string_view name)
{
    const std::array<std::string_view, 6> set_here{
        names.timeout,   names.remaining,      names.call_handle,
        names.workspace, names.caller_service, names.upstream_id};
    return std::ranges::any_of(
        set_here,
        [name](std::string_view own)
        {
            return !own.empty() && beast::iequals(own, name);
        });
}

template <class Drop>
header_fields filter(const http::fields& fields, const Drop& drop)
{
    header_fields kept;
    for (const auto& field : fields)
    {
        const auto name = view_of(field.name_string());
        const auto value = view_of(field.value());
        if (is_hop_by_hop(field.name()) || is_system_field(name) ||
            is_connection_option(fields, name) || drop(value))
        {
            continue;
        }
        kept.push_back({std::string(name), std::string(value)});
    }
    return kept;
}

} // namespace

header_fields forwarded_fields(
    const http::fields& fields, const header_names& names, std::string_view key)
{
    auto kept = filter(
        fields,
        [key](std::string_view value)
        {
            return !key.empty() && value.find(key) != std::string_view::npos;
        });
    std::erase_if(
        kept,
        [&names](const header_field& field)
        {
            return is_set_by_node(names, field.name);
        });
    return kept;
}

std::string_view
field_value(const http::fields& fields, const std::string& name)
{
    return name.empty() ? std::string_view() : view_of(fields[name]);
}

std::string_view field_value(const header_fields& fields, std::string_view name)
{
    for (const auto& field : fields)
    {
        if (!name.empty() && beast::iequals(field.name, name))
        {
            return field.value;
        }
    }
    return {};
}

header_fields returned_fields(const http::fields& fields)
{
    return filter(
        fields,
        [](std::string_view)
        {
            return false;
        });
}

std::string_view bearer_of(const http::fields& fields)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = view_of(fields[http::field::authorization]);
    if (value.size() <= scheme.size() ||
        !beast::iequals(
            {value.data(), scheme.size()}, {scheme.data(), scheme.size()}))
    {
        return {};
    }
    return value.substr(scheme.size());
}

} // namespace cyclamenhold
