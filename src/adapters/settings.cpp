#include "adapters/settings.hpp"

#include "adapters/files.hpp"
#include "adapters/settings_checks.hpp"
#include "adapters/settings_table.hpp"

#include <algorithm>

#include <boost/json.hpp>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;

struct json_document
{
    json::value value;
    findings found;
};

std::string place_in_text(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, offset);
    const auto line = 1 + std::ranges::count(before, '\n');
    const auto last_break = before.rfind('\n');
    const auto column = last_break == std::string_view::npos
                            ? before.size() + 1
                            : before.size() - last_break;
    return "line " + std::to_string(line) + ", column " +
           std::to_string(column);
}

json_document parse_document(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::stream_parser parser({}, options);
    json_document document;
    json::error_code error;
    const std::size_t parsed =
        parser.write_some(text.data(), text.size(), error);
    if (!error && parsed < text.size())
    {
        add_finding(
            document.found, place_in_text(text, parsed),
            "unexpected text after the settings object");
        return document;
    }
    if (!error)
    {
        parser.finish(error);
    }
    if (error)
    {
        add_finding(
            document.found, place_in_text(text, parsed), error.message());
        return document;
    }
    document.value = parser.release();
    return document;
}

// The state of reading one settings file.
struct settings_reader
{
    settings_result& result;
    settings_pointers given;
};

void read_number(
    const setting_entry& entry, const json::value& value,
    settings_reader& reader, auto&& assign)
{
    json::error_code error;
    const auto number = value.to_number<std::uint64_t>(error);
    if (!value.is_number() || error)
    {
        add_finding(
            reader.result.found, std::string(entry.place),
            "must be a non-negative integer");
        return;
    }
    if (number < entry.lowest || number > entry.highest)
    {
        add_finding(
            reader.result.found, std::string(entry.place),
            "must be between " + std::to_string(entry.lowest) + " and " +
                std::to_string(entry.highest));
        return;
    }
    assign(number);
}

// The text of a JSON string; nullopt, with a finding added, for another type.
std::optional<std::string_view>
read_text(const std::string& place, const json::value& value, findings& found)
{
    if (const json::string* const text = value.if_string())
    {
        return std::string_view(*text);
    }
    add_finding(found, place, "must be a string");
    return std::nullopt;
}

std::optional<ip_endpoint> read_endpoint(
    const std::string& place, const json::value& value, findings& found)
{
    const auto text = read_text(place, value, found);
    if (!text)
    {
        return std::nullopt;
    }
    const auto endpoint = parse_ip_endpoint(*text);
    if (!endpoint)
    {
        add_finding(
            found, place,
            "must be an IPv4 address and a port, such as "
            "\"10.0.0.1:7400\"");
    }
    return endpoint;
}

// The names of an enum's values, as "a, b or c".
template <class Enum>
std::string choices_of()
{
    const auto& table = enum_names<Enum>::table;
    std::string text(table.front().second);
    for (std::size_t index = 1; index < table.size(); ++index)
    {
        text += index + 1 == table.size() ? " or " : ", ";
        text += table[index].second;
    }
    return text;
}

// Reads one JSON value into the settings member of the entry, by its type.
struct value_reader
{
    const setting_entry& entry;
    const json::value& value;
    settings_reader& reader;

    [[nodiscard]] findings& found() const
    {
        return reader.result.found;
    }
    [[nodiscard]] std::string place() const
    {
        return std::string(entry.place);
    }

    void operator()(member_accessor<std::string> member) const
    {
        const auto text = read_text(place(), value, found());
        if (text && text->empty())
        {
            add_finding(found(), place(), "must not be empty");
        }
        else if (text)
        {
            member(reader.result.settings) = *text;
        }
    }

    template <class Number>
    requires std::is_integral_v<Number>
    void operator()(member_accessor<Number> member) const
    {
        read_number(
            entry, value, reader,
            [&](std::uint64_t number)
            {
                member(reader.result.settings) = static_cast<Number>(number);
            });
    }

    void operator()(member_accessor<double> member) const
    {
        json::error_code error;
        const auto number = value.to_number<double>(error);
        const auto lowest = static_cast<double>(entry.lowest);
        const auto highest = static_cast<double>(entry.highest);
        if (!value.is_number() || error || number < lowest || number > highest)
        {
            add_finding(
                found(), place(),
                "must be a number from " + std::to_string(entry.lowest) +
                    " to " + std::to_string(entry.highest));
            return;
        }
        member(reader.result.settings) = number;
    }

    void operator()(member_accessor<std::chrono::milliseconds> member) const
    {
        read_number(
            entry, value, reader,
            [&](std::uint64_t number)
            {
                member(reader.result.settings) =
                    std::chrono::milliseconds(number);
            });
    }

    void operator()(member_accessor<ip_endpoint> member) const
    {
        if (const auto endpoint = read_endpoint(place(), value, found()))
        {
            member(reader.result.settings) = *endpoint;
        }
    }

    void operator()(member_accessor<std::optional<ip_endpoint>> member) const
    {
        if (const auto endpoint = read_endpoint(place(), value, found()))
        {
            member(reader.result.settings) = *endpoint;
        }
    }

    void operator()(member_accessor<std::vector<ip_endpoint>> member) const
    {
        const json::array* const list = value.if_array();
        if (list == nullptr)
        {
            add_finding(found(), place(), "must be an array");
            return;
        }
        for (std::size_t index = 0; index < list->size(); ++index)
        {
            const std::string item = place() + '/' + std::to_string(index);
            const auto endpoint = read_endpoint(item, (*list)[index], found());
            if (endpoint && endpoint->port == 0)
            {
                add_finding(found(), item, "must have a port");
            }
            else if (endpoint)
            {
                member(reader.result.settings).push_back(*endpoint);
            }
        }
    }

    void operator()(member_accessor<std::vector<std::string>> member) const
    {
        const json::array* const list = value.if_array();
        if (list == nullptr)
        {
            add_finding(found(), place(), "must be an array");
            return;
        }
        for (std::size_t index = 0; index < list->size(); ++index)
        {
            const std::string item = place() + '/' + std::to_string(index);
            if (const auto text = read_text(item, (*list)[index], found()))
            {
                member(reader.result.settings).emplace_back(*text);
            }
        }
    }

    template <class Enum>
    requires std::is_enum_v<Enum>
    void operator()(member_accessor<Enum> member) const
    {
        const auto text = read_text(place(), value, found());
        if (!text)
        {
            return;
        }
        if (const auto named = value_named<Enum>(*text))
        {
            member(reader.result.settings) = *named;
            return;
        }
        add_finding(found(), place(), "must be " + choices_of<Enum>());
    }
};

const setting_entry* find_entry(std::string_view place)
{
    const auto table = settings_table();
    const auto entry = std::ranges::find(table, place, &setting_entry::place);
    return entry == table.end() ? nullptr : &*entry;
}

bool is_group(const std::string& place)
{
    return std::ranges::any_of(
        settings_table(),
        [prefix = place + '/'](const setting_entry& entry)
        {
            return entry.place.starts_with(prefix);
        });
}

// Escapes a member's name for a JSON pointer (RFC 6901).
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

void read_object(
    const json::object& object, const std::string& prefix,
    settings_reader& reader)
{
    for (const auto& member : object)
    {
        const std::string_view name(member.key().data(), member.key().size());
        const std::string place = prefix + '/' + escape_pointer(name);
        const json::value& value = member.value();
        if (const setting_entry* const entry = find_entry(place))
        {
            reader.given.insert(place);
            std::visit(value_reader{*entry, value, reader}, entry->member);
        }
        else if (!is_group(place))
        {
            add_finding(reader.result.found, place, "is not a known setting");
        }
        else if (const json::object* const group = value.if_object())
        {
            read_object(*group, place, reader);
        }
        else
        {
            add_finding(reader.result.found, place, "must be an object");
        }
    }
}

} // namespace

settings_result parse_settings(std::string_view text)
{
    settings_result result;
    json_document document = parse_document(text);
    if (!document.found.empty())
    {
        result.found = std::move(document.found);
        return result;
    }
    const json::object* const object = document.value.if_object();
    if (object == nullptr)
    {
        add_finding(result.found, "", "must be a JSON object");
        return result;
    }
    settings_reader reader{result, {}};
    read_object(*object, "", reader);
    check_settings(result, reader.given);
    return result;
}

settings_result load_settings(const std::string& path)
{
    const auto text = read_file(path);
    if (!text.ok())
    {
        settings_result result;
        add_finding(result.found, path, "cannot be read");
        return result;
    }
    return parse_settings(*text);
}

ip_endpoint advertised_endpoint(const node_settings& settings)
{
    return settings.advertise.value_or(settings.listen.peers);
}

} // namespace cyclamenhold
