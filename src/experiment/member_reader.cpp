#include "experiment/member_reader.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace cyclamenhold
{
namespace json = boost::json;

namespace
{

const json::object empty_object;

std::string line_and_column(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, offset);
    const auto line = 1 + std::ranges::count(before, '\n');
    const auto start = before.rfind('\n');
    const std::size_t column =
        start == std::string_view::npos ? offset + 1 : offset - start;
    return "line " + std::to_string(line) + ", column " +
           std::to_string(column);
}

std::string bounds_message(double minimum, double maximum)
{
    std::ostringstream message;
    message << "must be between " << minimum << " and " << maximum;
    return message.str();
}

} // namespace

std::optional<json::value>
parse_json_with_comments(std::string_view text, findings& found)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::stream_parser parser(json::storage_ptr(), options);
    json::error_code error;
    const std::size_t used = parser.write_some(text.data(), text.size(), error);
    if (!error && used < text.size() &&
        text.find_first_not_of(" \t\r\n", used) != std::string_view::npos)
    {
        error = json::error::extra_data;
    }
    if (!error)
    {
        parser.finish(error);
    }
    if (error)
    {
        add_finding(found, line_and_column(text, used), error.message());
        return std::nullopt;
    }
    return parser.release();
}

member_reader::member_reader(
    const json::value& value, std::string pointer, findings& found)
    : object_(value.if_object()), pointer_(std::move(pointer)), found_(&found)
{
    if (object_ == nullptr)
    {
        add_finding(found, pointer_, "must be an object");
        object_ = &empty_object;
    }
}

const json::value* member_reader::member(std::string_view name)
{
    known_.emplace(name);
    return object_->if_contains(json::string_view(name.data(), name.size()));
}

void member_reader::add(std::string_view name, std::string message)
{
    add_finding(
        *found_, pointer_ + "/" + std::string(name), std::move(message));
}

std::string member_reader::text(std::string_view name, std::string fallback)
{
    const json::value* value = member(name);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_string())
    {
        add(name, "must be a string");
        return fallback;
    }
    return std::string(value->get_string().c_str());
}

std::string member_reader::required_text(std::string_view name)
{
    if (member(name) == nullptr)
    {
        add(name, "is missing");
        return {};
    }
    return text(name);
}

double member_reader::number(
    std::string_view name, double fallback, double minimum, double maximum)
{
    const json::value* value = member(name);
    if (value == nullptr)
    {
        return fallback;
    }
    json::error_code error;
    const auto number = value->to_number<double>(error);
    if (error || !(number >= minimum && number <= maximum))
    {
        add(name, bounds_message(minimum, maximum));
        return fallback;
    }
    return number;
}

bool member_reader::flag(std::string_view name, bool fallback)
{
    const json::value* value = member(name);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_bool())
    {
        add(name, "must be true or false");
        return fallback;
    }
    return value->get_bool();
}

std::vector<std::string> member_reader::texts(std::string_view name)
{
    std::vector<std::string> list;
    const json::value* value = member(name);
    if (value == nullptr)
    {
        return list;
    }
    if (!value->is_array())
    {
        add(name, "must be an array of strings");
        return list;
    }
    for (const json::value& item : value->get_array())
    {
        if (!item.is_string())
        {
            add(name, "must be an array of strings");
            return list;
        }
        list.emplace_back(item.get_string().c_str());
    }
    return list;
}

std::vector<double> member_reader::numbers(std::string_view name)
{
    std::vector<double> list;
    const json::value* value = member(name);
    if (value == nullptr)
    {
        return list;
    }
    const json::array* array = value->if_array();
    json::error_code error;
    for (std::size_t index = 0; array != nullptr && index < array->size();
         ++index)
    {
        list.push_back((*array)[index].to_number<double>(error));
    }
    const bool positive = std::ranges::all_of(
        list,
        [](double item)
        {
            return item > 0.0;
        });
    if (array == nullptr || error || !positive)
    {
        add(name, "must be an array of positive numbers");
        return {};
    }
    return list;
}

std::string member_reader::object_text(std::string_view name)
{
    const json::value* value = member(name);
    if (value == nullptr)
    {
        return "{}";
    }
    if (!value->is_object())
    {
        add(name, "must be an object");
        return "{}";
    }
    return json::serialize(*value);
}

std::vector<member_reader> member_reader::objects(std::string_view name)
{
    std::vector<member_reader> readers;
    const json::value* value = member(name);
    if (value == nullptr)
    {
        return readers;
    }
    if (!value->is_array())
    {
        add(name, "must be an array of objects");
        return readers;
    }
    std::size_t index = 0;
    for (const json::value& item : value->get_array())
    {
        readers.emplace_back(
            item,
            pointer_ + "/" + std::string(name) + "/" + std::to_string(index),
            *found_);
        ++index;
    }
    return readers;
}

std::optional<member_reader> member_reader::object(std::string_view name)
{
    const json::value* value = member(name);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    return member_reader(*value, pointer_ + "/" + std::string(name), *found_);
}

void member_reader::reject_unknown()
{
    for (const auto& [name, value] : *object_)
    {
        if (!known_.contains(std::string_view(name.data(), name.size())))
        {
            add(std::string_view(name.data(), name.size()), "is not known");
        }
    }
}

} // namespace cyclamenhold
