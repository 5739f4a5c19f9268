#include "adapters/json_text.hpp"

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;

constexpr std::size_t indent_width = 2;

json::string_view to_library_view(std::string_view text)
{
    return {text.data(), text.size()};
}

// Formats a scalar or an empty container, which is written on the line of its
// name.
std::string scalar_text(const json::value& value)
{
    if (const json::string* const text = value.if_string())
    {
        return printable(*text);
    }
    return json::serialize(value);
}

bool is_nested(const json::value& value)
{
    return (value.is_object() && !value.get_object().empty()) ||
           (value.is_array() && !value.get_array().empty());
}

// Formats an object without nested values on one line, "name=value name=value";
// nullopt for other values.
std::optional<std::string> flat_text(const json::value& value)
{
    const json::object* const object = value.if_object();
    if (object == nullptr)
    {
        return std::nullopt;
    }
    std::string line;
    for (const auto& member : *object)
    {
        if (is_nested(member.value()))
        {
            return std::nullopt;
        }
        const std::string_view name(member.key().data(), member.key().size());
        line += line.empty() ? "" : "  ";
        line += printable(name) + '=' + scalar_text(member.value());
    }
    return line;
}

} // namespace

std::optional<json::object> parse_object(std::string_view text)
{
    json::error_code error;
    json::value value = json::parse(to_library_view(text), error);
    if (error || !value.is_object())
    {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::string text_of(const json::object& object, std::string_view name)
{
    const json::value* const value = object.if_contains(to_library_view(name));
    if (value == nullptr || !value->is_string())
    {
        return {};
    }
    return std::string(std::string_view(value->get_string()));
}

std::string printable(std::string_view text)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    std::string result(text);
    for (char& letter : result)
    {
        const auto byte = static_cast<unsigned char>(letter);
        if (byte < first_printable || byte == delete_character)
        {
            letter = '?';
        }
    }
    return result;
}

std::string outline(const json::value& value, std::size_t depth)
{
    const std::string indent(depth * indent_width, ' ');
    std::string text;
    if (const json::object* const object = value.if_object())
    {
        for (const auto& member : *object)
        {
            const std::string_view name(
                member.key().data(), member.key().size());
            text += indent + printable(name) + ':';
            text += is_nested(member.value())
                        ? '\n' + outline(member.value(), depth + 1)
                        : ' ' + scalar_text(member.value()) + '\n';
        }
        return text;
    }
    if (const json::array* const list = value.if_array())
    {
        for (const auto& item : *list)
        {
            const auto line = flat_text(item);
            text += indent + "- ";
            text += line              ? *line + '\n'
                    : is_nested(item) ? '\n' + outline(item, depth + 1)
                                      : scalar_text(item) + '\n';
        }
        return text;
    }
    return indent + scalar_text(value) + '\n';
}

} // namespace cyclamenhold
