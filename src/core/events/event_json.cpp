#include "core/events/event_json.hpp"

#include <array>
#include <charconv>
#include <cstdio>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;

constexpr std::size_t max_event_limit = 100'000;

std::string to_hexadecimal(std::uint64_t value)
{
    return to_string(static_cast<hybrid_time>(value));
}

// The member if it is a string, otherwise nullptr.
const json::string* find_text(const json::object& object, const char* name)
{
    const json::value* const value = object.if_contains(name);
    return value == nullptr ? nullptr : value->if_string();
}

// Parses one member with `parse`. A missing member leaves `value` unchanged;
// one that is no string or cannot be parsed is a finding.
template <class Value, class Parse>
void read_member(
    const json::object& object, const char* name, Value& value, Parse parse,
    const std::string& place, findings& found)
{
    if (!object.contains(name))
    {
        return;
    }
    const json::string* const text = find_text(object, name);
    if (text != nullptr)
    {
        if (const auto parsed = parse(std::string_view(*text)))
        {
            value = *parsed;
            return;
        }
    }
    add_finding(found, place + '/' + name, "is not valid");
}

std::optional<workspace_id> parse_workspace(std::string_view text)
{
    const auto value = parse_hybrid_time(text);
    if (!value)
    {
        return std::nullopt;
    }
    return static_cast<workspace_id>(*value);
}

event_record
read_record(const json::value& value, const std::string& place, findings& found)
{
    event_record record;
    const json::object* const object = value.if_object();
    if (object == nullptr || find_text(*object, "hlc") == nullptr ||
        find_text(*object, "host") == nullptr ||
        find_text(*object, "kind") == nullptr)
    {
        add_finding(found, place, "is not an event with hlc, host and kind");
        return record;
    }
    event& what = record.what;
    read_member(*object, "hlc", record.time, parse_hybrid_time, place, found);
    read_member(*object, "host", record.host, parse_host_id, place, found);
    read_member(
        *object, "kind", what.kind, value_named<event_kind>, place, found);
    read_member(*object, "trace", what.trace, parse_trace_id, place, found);
    read_member(
        *object, "workspace", what.workspace, parse_workspace, place, found);
    read_member(*object, "peer", what.peer, parse_host_id, place, found);
    if (const auto* const detail = find_text(*object, "detail"))
    {
        what.detail = std::string_view(*detail);
    }
    return record;
}

// The value of a hexadecimal digit, or -1.
int hexadecimal_digit(char digit)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr char to_lower_case = 0x20;
    const auto position = digits.find(static_cast<char>(digit | to_lower_case));
    return position == std::string_view::npos ? -1 : static_cast<int>(position);
}

// Decodes percent-encoding; nullopt if it is malformed.
std::optional<std::string> decode_percent(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        if (text[index] != '%')
        {
            decoded += text[index];
            continue;
        }
        if (index + 2 >= text.size())
        {
            return std::nullopt;
        }
        const int high = hexadecimal_digit(text[index + 1]);
        const int low = hexadecimal_digit(text[index + 2]);
        if (high < 0 || low < 0)
        {
            return std::nullopt;
        }
        decoded += static_cast<char>(high * 16 + low);
        index += 2;
    }
    return decoded;
}

std::string encode_percent(std::string_view text)
{
    constexpr std::string_view unreserved =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    std::string encoded;
    for (const char letter : text)
    {
        if (unreserved.find(letter) != std::string_view::npos)
        {
            encoded += letter;
            continue;
        }
        std::array<char, 4> escape{};
        std::snprintf(
            escape.data(), escape.size(), "%%%02X",
            static_cast<unsigned>(static_cast<unsigned char>(letter)));
        encoded += escape.data();
    }
    return encoded;
}

std::optional<std::size_t> parse_limit(std::string_view text)
{
    std::size_t limit = 0;
    const char* const end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, limit);
    if (error != std::errc() || position != end || limit == 0 ||
        limit > max_event_limit)
    {
        return std::nullopt;
    }
    return limit;
}

// Parses one "name=value" of the query. `value` is already decoded.
void read_parameter(
    std::string_view name, const std::string& value, event_query& query,
    findings& found)
{
    const std::string place(name);
    const auto assign = [&](auto& member, const auto& parsed)
    {
        if (!parsed)
        {
            add_finding(found, place, "is not valid");
            return;
        }
        member = *parsed;
    };
    if (name == "since_hlc")
    {
        assign(query.since, parse_hybrid_time(value));
    }
    else if (name == "until_hlc")
    {
        assign(query.until, parse_hybrid_time(value));
    }
    else if (name == "trace")
    {
        assign(query.trace, parse_trace_id(value));
    }
    else if (name == "workspace")
    {
        query.workspace = workspace_id_of(value);
    }
    else if (name == "limit")
    {
        assign(query.limit, parse_limit(value));
    }
    else
    {
        add_finding(found, place, "is not a known parameter");
    }
}

} // namespace

json::object to_json(const event_record& record)
{
    json::object object;
    const event& what = record.what;
    object["hlc"] = to_string(record.time);
    object["time"] = format_utc(wall_ms_of(record.time));
    object["host"] = to_string(record.host);
    const std::string_view kind = name_of(what.kind);
    object["kind"] = json::string(kind.data(), kind.size());
    if (what.trace != trace_id{})
    {
        object["trace"] = to_string(what.trace);
    }
    if (what.workspace != workspace_id::none)
    {
        object["workspace"] =
            to_hexadecimal(static_cast<std::uint64_t>(what.workspace));
    }
    if (what.peer != host_id::none)
    {
        object["peer"] = to_string(what.peer);
    }
    if (!what.detail.empty())
    {
        object["detail"] = what.detail;
    }
    return object;
}

std::string write_event_page(const event_page& page)
{
    json::array events;
    events.reserve(page.records.size());
    for (const auto& record : page.records)
    {
        events.push_back(to_json(record));
    }
    json::object object;
    object["host"] = to_string(page.host);
    object["name"] = page.name;
    object["overwritten"] = page.overwritten;
    object["truncated"] = page.truncated;
    object["events"] = std::move(events);
    return json::serialize(object);
}

event_page_result read_event_page(std::string_view text)
{
    event_page_result result;
    json::error_code error;
    const json::value value =
        json::parse(json::string_view(text.data(), text.size()), error);
    const json::object* const object = value.if_object();
    if (error || object == nullptr)
    {
        add_finding(result.found, "", "is not a JSON object");
        return result;
    }
    event_page& page = result.page;
    if (!object->contains("host"))
    {
        add_finding(result.found, "/host", "is missing");
    }
    read_member(*object, "host", page.host, parse_host_id, "", result.found);
    if (const auto* const name = find_text(*object, "name"))
    {
        page.name = std::string_view(*name);
    }
    if (const auto* const count = object->if_contains("overwritten"))
    {
        page.overwritten = count->is_int64() && count->get_int64() >= 0
                               ? static_cast<std::uint64_t>(count->get_int64())
                               : 0;
    }
    if (const auto* const truncated = object->if_contains("truncated"))
    {
        page.truncated = truncated->is_bool() && truncated->get_bool();
    }
    const json::value* const events = object->if_contains("events");
    if (events == nullptr || !events->is_array())
    {
        add_finding(result.found, "/events", "is not an array");
        return result;
    }
    std::size_t index = 0;
    for (const auto& entry : events->get_array())
    {
        const std::string place = "/events/" + std::to_string(index);
        page.records.push_back(read_record(entry, place, result.found));
        ++index;
    }
    return result;
}

event_query_result read_event_query(std::string_view target)
{
    event_query_result result;
    const auto start = target.find('?');
    if (start == std::string_view::npos)
    {
        return result;
    }
    std::string_view rest = target.substr(start + 1);
    while (!rest.empty())
    {
        const auto end = rest.find('&');
        const std::string_view parameter = rest.substr(0, end);
        rest.remove_prefix(
            end == std::string_view::npos ? rest.size() : end + 1);
        const auto equals = parameter.find('=');
        const std::string_view name = parameter.substr(0, equals);
        const auto value = decode_percent(
            equals == std::string_view::npos ? std::string_view()
                                             : parameter.substr(equals + 1));
        if (!value || value->empty())
        {
            add_finding(result.found, std::string(name), "has no valid value");
            continue;
        }
        read_parameter(name, *value, result.query, result.found);
    }
    return result;
}

std::string
write_event_query(const event_query& query, std::string_view workspace_name)
{
    std::string target = "/v1/events?limit=" + std::to_string(query.limit);
    if (query.since)
    {
        target += "&since_hlc=" + to_string(*query.since);
    }
    if (query.until)
    {
        target += "&until_hlc=" + to_string(*query.until);
    }
    if (query.trace)
    {
        target += "&trace=" + to_string(*query.trace);
    }
    if (query.workspace)
    {
        target += "&workspace=" + encode_percent(workspace_name);
    }
    return target;
}

} // namespace cyclamenhold
