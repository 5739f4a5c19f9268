#include "adapters/upstream_requests.hpp"

#include "adapters/reply_writer.hpp"

#include <boost/json.hpp>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;

constexpr std::string_view request_prefix = "/v1/upstream/";
constexpr std::uint64_t max_slots = 1'000'000;
constexpr std::uint64_t max_warm_up_ms = 3'600'000;

std::uint64_t number_at(
    const json::object& object, std::string_view name, std::uint64_t low,
    std::uint64_t high, findings& found)
{
    const auto* const value = object.if_contains(name);
    boost::system::error_code error;
    const auto number =
        value ? value->to_number<std::uint64_t>(error) : std::uint64_t{0};
    if (value == nullptr || error || number < low || number > high)
    {
        add_finding(
            found, '/' + std::string(name),
            "must be a whole number from " + std::to_string(low) + " to " +
                std::to_string(high));
        return 0;
    }
    return number;
}

std::string
text_at(const json::object& object, std::string_view name, findings& found)
{
    const auto* const value = object.if_contains(name);
    if (value == nullptr || !value->is_string() || value->as_string().empty())
    {
        add_finding(
            found, '/' + std::string(name), "must be a non-empty string");
        return {};
    }
    return std::string(value->as_string());
}

ip_endpoint endpoint_at(const json::object& object, findings& found)
{
    const std::string text = text_at(object, "endpoint", found);
    const auto parsed = parse_ip_endpoint(text);
    if (!parsed && !text.empty())
    {
        add_finding(found, "/endpoint", "must be IPv4:port");
    }
    return parsed.value_or(ip_endpoint{});
}

json::value findings_json(const findings& found)
{
    json::array list;
    for (const auto& [place, message] : found)
    {
        list.push_back(json::object{{"place", place}, {"message", message}});
    }
    return json::object{{"findings", list}};
}

json::value message_json(std::string_view message)
{
    return json::object{{"message", message}};
}

json::value accepted_json()
{
    return json::object{{"accepted", true}};
}

} // namespace

std::variant<upstream_announcement, findings>
parse_announcement(std::string_view text)
{
    findings found;
    boost::system::error_code error;
    const json::value value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object())
    {
        add_finding(found, "", "must be a JSON object");
        return found;
    }
    const json::object& object = value.as_object();
    upstream_announcement announcement;
    announcement.record.service = text_at(object, "service", found);
    announcement.record.state = upstream_state::serving;
    announcement.record.slots = static_cast<std::uint32_t>(
        number_at(object, "slots", 1, max_slots, found));
    announcement.record.connections = static_cast<std::uint32_t>(
        number_at(object, "connections", 1, max_slots, found));
    announcement.endpoint = endpoint_at(object, found);
    if (object.contains("warm_up_ms"))
    {
        announcement.warm_up = std::chrono::milliseconds(
            number_at(object, "warm_up_ms", 0, max_warm_up_ms, found));
    }
    if (!found.empty())
    {
        return found;
    }
    return announcement;
}

asio::awaitable<void>
serve_upstream_message(caller_ptr caller, upstream_port* port)
{
    const auto& request = caller->parser->get();
    const std::string method(request.method_string());
    const std::string target(request.target());
    const auto upstream_message =
        caller->thread.services.profile.parse_upstream_message(
            method, target, caller->prefix);
    if (const auto* found = std::get_if<findings>(&upstream_message))
    {
        event recorded;
        recorded.kind = event_kind::bad_input;
        recorded.detail = "invalid upstream message: " + to_string(*found);
        caller->thread.services.record(recorded);
        co_await write_json(caller, 400, findings_json(*found));
        co_return;
    }
    if (const auto* announced =
            std::get_if<upstream_announcement>(&upstream_message))
    {
        port->announce(*announced);
    }
    else if (
        const auto* left = std::get_if<upstream_departure>(&upstream_message))
    {
        port->leave(*left);
    }
    else
    {
        co_await write_json(caller, 404, message_json("no such request"));
        co_return;
    }
    co_await write_json(caller, 200, json::object{});
}

bool is_upstream_request(std::string_view target)
{
    return target.starts_with(request_prefix);
}

asio::awaitable<void>
serve_upstream_request(caller_ptr caller, upstream_port* port)
{
    const auto target = caller->parser->get().target();
    const std::string_view action =
        std::string_view(target.data(), target.size())
            .substr(request_prefix.size());
    if (caller->parser->get().method() != boost::beast::http::verb::post)
    {
        co_await write_json(caller, 405, message_json("use POST"));
        co_return;
    }
    if (action == "announce")
    {
        auto parsed = parse_announcement(caller->prefix);
        if (const auto* found = std::get_if<findings>(&parsed))
        {
            co_await write_json(caller, 422, findings_json(*found));
            co_return;
        }
        port->announce(std::get<upstream_announcement>(parsed));
    }
    else if (action == "drain")
    {
        port->drain({});
    }
    else if (action == "leave")
    {
        port->leave({});
    }
    else
    {
        co_await write_json(caller, 404, message_json("no such request"));
        co_return;
    }
    co_await write_json(caller, 200, accepted_json());
}

} // namespace cyclamenhold
