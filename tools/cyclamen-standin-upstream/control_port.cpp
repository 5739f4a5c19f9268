#include "control_port.hpp"

#include "adapters/clock.hpp"
#include "adapters/json_server.hpp"
#include "core/base/findings.hpp"
#include "crash.hpp"

#include <boost/json.hpp>

#include <cstdlib>
#include <utility>

namespace cyclamenhold
{
namespace asio = boost::asio;
namespace json = boost::json;
using upstream_pointer = std::shared_ptr<upstream_state>;

namespace
{

json_reply show_ran(const upstream_state& upstream)
{
    json::array list;
    for (const auto& entry : upstream.ran)
    {
        json::object object;
        object["marker"] = entry->marker;
        object["path"] = entry->path;
        object["started"] = entry->started_ms;
        object["finished"] = entry->finished_ms;
        object["bytes"] = entry->bytes;
        object["aborted"] = entry->aborted;
        list.push_back(std::move(object));
    }
    return {200, json::serialize(list), false};
}

json_reply show_counts(const upstream_state& upstream)
{
    const upstream_counts& counts = upstream.counts;
    json::object object;
    object["service"] = upstream.settings.service;
    object["received"] = counts.received;
    object["started"] = counts.started;
    object["finished"] = counts.finished;
    object["aborted"] = counts.aborted;
    object["shed"] = counts.shed;
    object["expired"] = counts.expired;
    object["connections"] = counts.connections;
    object["refused_connections"] = counts.refused_connections;
    object["child_calls"] = counts.child_calls;
    object["failed_child_calls"] = counts.failed_child_calls;
    object["in_flight"] = in_flight(upstream);
    object["queued"] = upstream.slots.waiters.size();
    object["open_connections"] = upstream.open_connections.size();
    return {200, json::serialize(object), false};
}

// Sets one boolean fault, or triggers one that acts once (`silent`, `close`,
// `die`). Returns false when the name is unknown.
bool set_switch(
    upstream_state& upstream, upstream_faults& faults, std::string_view name,
    bool on)
{
    if (name == "lie")
    {
        faults.inverts_reports = on;
    }
    else if (name == "silent")
    {
        upstream.silent_below =
            on ? upstream.next_connection : upstream.silent_below;
    }
    else if (name == "close")
    {
        on ? close_connections(upstream) : void();
    }
    else if (name == "die")
    {
        on ? std::_Exit(exit_crashed) : void();
    }
    else
    {
        return false;
    }
    return true;
}

// Sets one numeric fault. Returns false when the name is unknown or the number
// is out of range.
bool set_number(upstream_faults& faults, std::string_view name, double number)
{
    constexpr double max_value = 1e9;
    if (number < 0 || number > max_value)
    {
        return false;
    }
    const duration time = from_seconds(number / 1000.0);
    if (name == "slow_factor")
    {
        faults.slow_factor = number;
    }
    else if (name == "shed_share")
    {
        faults.shed_share = number;
    }
    else if (name == "lag_ms")
    {
        faults.lag = time;
    }
    else if (name == "refuse_ms")
    {
        faults.refuse_until = now() + time;
    }
    else
    {
        return false;
    }
    return true;
}

json_reply change_faults(upstream_state& upstream, std::string_view body)
{
    json::error_code error;
    const json::value value =
        json::parse(json::string_view(body.data(), body.size()), error);
    if (error || !value.is_object())
    {
        return json_error(400, "the body must be a JSON object");
    }
    upstream_faults changed = upstream.faults;
    findings found;
    for (const auto& [name, setting] : value.get_object())
    {
        const std::string_view key(name.data(), name.size());
        json::error_code not_number;
        const auto number = setting.to_number<double>(not_number);
        const bool is_valid =
            setting.is_bool()
                ? set_switch(upstream, changed, key, setting.get_bool())
                : !not_number && set_number(changed, key, number);
        if (!is_valid)
        {
            add_finding(
                found, "/" + std::string(key), "unknown fault or bad value");
        }
    }
    if (!found.empty())
    {
        return json_error(400, to_string(found));
    }
    upstream.faults = changed;
    return {200, "{}", false};
}

json_reply serve(upstream_state& upstream, const json_request& request)
{
    const bool is_get = request.method == "GET";
    if (is_get && request.target == "/v1/ran")
    {
        return show_ran(upstream);
    }
    if (is_get && request.target == "/v1/counts")
    {
        return show_counts(upstream);
    }
    if (is_get && request.target == "/v1/received")
    {
        return {200, upstream.received, false};
    }
    if (request.method == "PUT" && request.target == "/v1/faults")
    {
        return change_faults(upstream, request.body);
    }
    return json_error(404, "no such path");
}

asio::awaitable<json_reply>
serve_async(upstream_pointer upstream, json_request request)
{
    co_return serve(*upstream, request);
}

} // namespace

absl::StatusOr<asio::ip::tcp::endpoint>
start_control_port(const upstream_pointer& upstream)
{
    return start_json_server(
        upstream->context.get_executor(), upstream->settings.control,
        [upstream](json_request request)
        {
            return serve_async(upstream, std::move(request));
        });
}

} // namespace cyclamenhold
