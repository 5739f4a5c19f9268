#include "core/intent/json_reader.hpp"

#include <cmath>
#include <sstream>

namespace cyclamenhold
{
namespace
{

constexpr std::size_t max_json_depth = 16;

// Escapes a name for a JSON pointer (RFC 6901).
std::string escape_pointer(std::string_view name)
{
    std::string escaped;
    for (const char letter : name)
    {
        if (letter == '~')
        {
            escaped += "~0";
        }
        else if (letter == '/')
        {
            escaped += "~1";
        }
        else
        {
            escaped += letter;
        }
    }
    return escaped;
}

std::string text_of(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

} // namespace

bool parse_json_object(
    std::string_view text, boost::json::value& value, findings& found)
{
    boost::json::parse_options options;
    options.max_depth = max_json_depth;
    boost::json::error_code error;
    value = boost::json::parse(
        boost::json::string_view(text.data(), text.size()), error, {}, options);
    if (error)
    {
        add_finding(found, "", "not valid JSON: " + error.message());
        return false;
    }
    if (!value.is_object())
    {
        add_finding(found, "", "must be an object");
        return false;
    }
    return true;
}

std::string json_place(const json_reader& reader, std::string_view field)
{
    return reader.place + "/" + escape_pointer(field);
}

const boost::json::value*
read_field(json_reader& reader, std::string_view field, bool required)
{
    reader.read_fields.emplace(field);
    const auto* value = reader.object->if_contains(
        boost::json::string_view(field.data(), field.size()));
    if (value == nullptr && required)
    {
        add_finding(*reader.found, json_place(reader, field), "is missing");
    }
    return value;
}

std::string
read_string(json_reader& reader, std::string_view field, bool required)
{
    const auto* value = read_field(reader, field, required);
    if (value == nullptr)
    {
        return {};
    }
    if (!value->is_string())
    {
        add_finding(
            *reader.found, json_place(reader, field), "must be a string");
        return {};
    }
    return {value->get_string().data(), value->get_string().size()};
}

double read_number(
    json_reader& reader, std::string_view field, const number_range& range)
{
    const auto* value = read_field(reader, field, true);
    if (value == nullptr)
    {
        return range.highest;
    }
    const double number =
        value->is_number() ? value->to_number<double>() : std::nan("");
    const bool fits = std::isfinite(number) && number <= range.highest &&
                      (range.excludes_lowest ? number > range.lowest
                                             : number >= range.lowest);
    if (!fits)
    {
        add_finding(
            *reader.found, json_place(reader, field),
            "must be a number " +
                std::string(range.excludes_lowest ? "above " : "from ") +
                text_of(range.lowest) + " to " + text_of(range.highest));
        return range.highest;
    }
    return number;
}

std::uint64_t read_integer(
    json_reader& reader, std::string_view field, std::uint64_t lowest,
    std::uint64_t highest, std::uint64_t fallback)
{
    const auto* value = read_field(reader, field, false);
    if (value == nullptr)
    {
        return fallback;
    }
    boost::json::error_code error;
    const auto number = value->is_number()
                            ? value->to_number<std::uint64_t>(error)
                            : highest + 1;
    if (error || number < lowest || number > highest)
    {
        add_finding(
            *reader.found, json_place(reader, field),
            "must be a whole number from " + std::to_string(lowest) + " to " +
                std::to_string(highest));
        return fallback;
    }
    return number;
}

bool read_bool(json_reader& reader, std::string_view field, bool fallback)
{
    const auto* value = read_field(reader, field, false);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_bool())
    {
        add_finding(
            *reader.found, json_place(reader, field), "must be true or false");
        return fallback;
    }
    return value->get_bool();
}

void report_unread_fields(json_reader& reader)
{
    for (const auto& item : *reader.object)
    {
        const std::string_view name(item.key().data(), item.key().size());
        if (!reader.read_fields.contains(name))
        {
            add_finding(
                *reader.found, json_place(reader, name), "is not known here");
        }
    }
}

} // namespace cyclamenhold
