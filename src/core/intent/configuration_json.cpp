#include "core/intent/configuration_json.hpp"

#include <algorithm>
#include <charconv>

namespace cyclamenhold
{
namespace
{

constexpr double highest_rate = 1e9;
constexpr double highest_weight = 1e6;
constexpr std::size_t max_name_size = 128;
constexpr std::size_t max_path_size = 1024;
constexpr std::size_t max_method_size = 16;
constexpr std::uint64_t max_retry_allowance = 100;
constexpr std::uint64_t max_deadline_ms = 3'600'000;
constexpr std::uint64_t default_deadline_ms = 5'000;
constexpr std::uint64_t default_retry_allowance = 2;

bool is_letter_or_digit(char letter)
{
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
}

bool is_name(std::string_view text, std::string_view also_allowed)
{
    return !text.empty() && text.size() <= max_name_size &&
           std::ranges::all_of(
               text,
               [&](char letter)
               {
                   return is_letter_or_digit(letter) ||
                          also_allowed.find(letter) != std::string_view::npos;
               });
}

std::string read_method(json_reader& reader)
{
    std::string method = read_string(reader, "method", false);
    const bool valid = method.size() <= max_method_size &&
                       std::ranges::all_of(
                           method,
                           [](char letter)
                           {
                               return letter >= 'A' && letter <= 'Z';
                           });
    if (!valid)
    {
        add_finding(
            *reader.found, json_place(reader, "method"),
            "must be a method in capital letters, or empty for any");
    }
    return method;
}

std::string read_path(json_reader& reader)
{
    std::string path = read_string(reader, "path_prefix");
    const bool valid =
        path.empty() || (path.front() == '/' && path.size() <= max_path_size &&
                         std::ranges::all_of(
                             path,
                             [](char letter)
                             {
                                 return letter > ' ' && letter < 127;
                             }));
    const bool present = reader.object->contains("path_prefix");
    if (!valid || (present && path.empty()))
    {
        add_finding(
            *reader.found, json_place(reader, "path_prefix"),
            "must begin with / and hold no spaces");
    }
    return path;
}

priority_class read_priority(json_reader& reader)
{
    const std::string text = read_string(reader, "priority", false);
    if (text.empty() && !reader.object->contains("priority"))
    {
        return priority_class::normal;
    }
    const auto priority = value_named<priority_class>(text);
    if (!priority.has_value())
    {
        add_finding(
            *reader.found, json_place(reader, "priority"),
            "must be critical, high, normal or low");
    }
    return priority.value_or(priority_class::normal);
}

template <class Value>
using field_reader = Value (*)(json_reader&);

template <class Value>
void read_list(
    json_reader& reader, std::string_view field, field_reader<Value> read,
    std::vector<Value>& values)
{
    const auto* list = read_field(reader, field, true);
    if (list == nullptr)
    {
        return;
    }
    if (!list->is_array())
    {
        add_finding(*reader.found, json_place(reader, field), "must be a list");
        return;
    }
    std::size_t position = 0;
    for (const auto& item : list->get_array())
    {
        const std::string place =
            json_place(reader, field) + "/" + std::to_string(position++);
        if (!item.is_object())
        {
            add_finding(*reader.found, place, "must be an object");
            continue;
        }
        json_reader inner{&item.get_object(), place, reader.found, {}};
        values.push_back(read(inner));
        report_unread_fields(inner);
    }
}

template <class Value>
boost::json::array to_json_array(const std::vector<Value>& values)
{
    boost::json::array list;
    for (const auto& value : values)
    {
        list.push_back(to_json_object(value));
    }
    return list;
}

} // namespace

std::string read_name(json_reader& reader, std::string_view field)
{
    std::string name = read_string(reader, field);
    const bool present = reader.object->contains(
        boost::json::string_view(field.data(), field.size()));
    if (present && !is_name(name, "._-"))
    {
        add_finding(
            *reader.found, json_place(reader, field),
            "must be 1 to 128 letters, digits, dots, dashes or underscores");
    }
    return name;
}

// An optional list of names.
std::vector<std::string> read_regions(json_reader& reader)
{
    std::vector<std::string> regions;
    const auto* const list = read_field(reader, "regions", false);
    if (list == nullptr)
    {
        return regions;
    }
    if (!list->is_array())
    {
        add_finding(
            *reader.found, json_place(reader, "regions"), "must be a list");
        return regions;
    }
    for (const auto& item : list->get_array())
    {
        const auto* const text = item.if_string();
        if (text == nullptr || !is_name({text->data(), text->size()}, "._-"))
        {
            add_finding(
                *reader.found,
                json_place(reader, "regions") + '/' +
                    std::to_string(regions.size()),
                "must be a name");
            continue;
        }
        regions.emplace_back(text->data(), text->size());
    }
    return regions;
}

// Omitted without a limit, as in configurations of earlier versions.
void write_regions(
    boost::json::object& object, const std::vector<std::string>& regions)
{
    if (!regions.empty())
    {
        object["regions"] = boost::json::array(regions.begin(), regions.end());
    }
}

workspace read_workspace(json_reader& reader)
{
    workspace value;
    value.name = read_name(reader, "name");
    value.rate = read_number(reader, "rate", {0.0, highest_rate, true});
    value.burst = read_number(reader, "burst", {0.0, highest_rate, true});
    value.regions = read_regions(reader);
    return value;
}

workspace_key read_key(json_reader& reader)
{
    workspace_key value;
    value.id = read_string(reader, "id");
    if (reader.object->contains("id") && !is_name(value.id, "-"))
    {
        add_finding(
            *reader.found, json_place(reader, "id"),
            "must be 1 to 128 letters, digits or dashes");
    }
    value.workspace = read_name(reader, "workspace");
    const std::string text = read_string(reader, "digest");
    const auto digest = parse_digest(text);
    if (!digest.has_value() && reader.object->contains("digest"))
    {
        add_finding(
            *reader.found, json_place(reader, "digest"),
            "must be 64 hexadecimal digits");
    }
    value.digest = digest.value_or(key_digest{});
    value.withdrawn = read_bool(reader, "withdrawn", false);
    return value;
}

route read_route(json_reader& reader)
{
    route value;
    value.name = read_name(reader, "name");
    value.method = read_method(reader);
    value.path_prefix = read_path(reader);
    value.service = read_name(reader, "service");
    value.priority = read_priority(reader);
    value.open = read_bool(reader, "open", false);
    value.never_repeat = read_bool(reader, "never_repeat", false);
    value.retry_allowance = static_cast<std::uint16_t>(read_integer(
        reader, "retry_allowance", 0, max_retry_allowance,
        default_retry_allowance));
    value.deadline = std::chrono::milliseconds(read_integer(
        reader, "deadline_ms", 1, max_deadline_ms, default_deadline_ms));
    value.regions = read_regions(reader);
    return value;
}

data_centre read_data_centre(json_reader& reader)
{
    data_centre value;
    value.name = read_name(reader, "name");
    value.region = read_name(reader, "region");
    value.weight = read_number(reader, "weight", {0.0, highest_weight, true});
    return value;
}

boost::json::object to_json_object(const workspace& value)
{
    boost::json::object object{
        {"name", value.name}, {"rate", value.rate}, {"burst", value.burst}};
    write_regions(object, value.regions);
    return object;
}

boost::json::object to_json_object(const workspace_key& value)
{
    return {
        {"id", value.id},
        {"workspace", value.workspace},
        {"digest", to_hex(value.digest)},
        {"withdrawn", value.withdrawn}};
}

boost::json::object to_json_object(const route& value)
{
    const std::string_view priority = name_of(value.priority);
    boost::json::object object{
        {"name", value.name},
        {"method", value.method},
        {"path_prefix", value.path_prefix},
        {"service", value.service},
        {"priority",
         boost::json::string_view(priority.data(), priority.size())},
        {"open", value.open},
        {"never_repeat", value.never_repeat},
        {"retry_allowance", value.retry_allowance},
        {"deadline_ms", value.deadline.count()}};
    write_regions(object, value.regions);
    return object;
}

boost::json::object to_json_object(const data_centre& value)
{
    return {
        {"name", value.name},
        {"region", value.region},
        {"weight", value.weight}};
}

boost::json::object to_json_object(const configuration& value)
{
    return {
        {"revision", value.revision},
        {"workspaces", to_json_array(value.workspaces)},
        {"keys", to_json_array(value.keys)},
        {"routes", to_json_array(value.routes)},
        {"data_centres", to_json_array(value.data_centres)}};
}

std::string to_json(const configuration& value)
{
    return boost::json::serialize(to_json_object(value));
}

std::optional<configuration>
parse_configuration(std::string_view text, findings& found)
{
    const std::size_t before = found.size();
    boost::json::value root;
    if (!parse_json_object(text, root, found))
    {
        return std::nullopt;
    }
    configuration value;
    json_reader reader{&root.get_object(), "", &found, {}};
    if (read_field(reader, "revision", true) != nullptr)
    {
        value.revision =
            read_integer(reader, "revision", 0, std::uint64_t{1} << 62, 0);
    }
    read_list(reader, "workspaces", &read_workspace, value.workspaces);
    read_list(reader, "keys", &read_key, value.keys);
    read_list(reader, "routes", &read_route, value.routes);
    read_list(reader, "data_centres", &read_data_centre, value.data_centres);
    report_unread_fields(reader);
    if (found.size() != before)
    {
        return std::nullopt;
    }
    return value;
}

std::string to_hex(const key_digest& digest)
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

std::optional<key_digest> parse_digest(std::string_view text)
{
    key_digest digest{};
    if (text.size() != 2 * digest.size())
    {
        return std::nullopt;
    }
    for (std::size_t place = 0; place < digest.size(); ++place)
    {
        const char* const begin = text.data() + 2 * place;
        const auto [end, error] =
            std::from_chars(begin, begin + 2, digest[place], 16);
        if (error != std::errc() || end != begin + 2)
        {
            return std::nullopt;
        }
    }
    return digest;
}

} // namespace cyclamenhold
