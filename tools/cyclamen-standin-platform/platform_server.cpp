#include "platform_server.hpp"

#include "adapters/clock.hpp"
#include "adapters/json_server.hpp"
#include "core/base/findings.hpp"
#include "platform/store_protocol.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <map>
#include <optional>
#include <utility>

namespace cyclamenhold
{
namespace asio = boost::asio;
namespace json = boost::json;

// A call whose reply from the store is pending.
struct pending_store_call
{
    // Never expires; cancelled when the reply has arrived.
    asio::steady_timer ready;
    std::optional<platform_reply> reply;
};

struct platform_server
{
    explicit platform_server(const asio::any_io_executor& executor)
        : poll_timer(executor)
    {
    }
    key_value_store store;
    std::map<store_caller, pending_store_call*> waiting;
    store_caller next_caller = 1;
    asio::steady_timer poll_timer;
};

namespace
{

using server_pointer = std::shared_ptr<platform_server>;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

// Delivers the replies that are due and schedules itself for the next one.
void deliver_due_replies(const server_pointer& server)
{
    for (auto& [caller, reply] : store_poll(server->store, now()))
    {
        const auto found = server->waiting.find(caller);
        if (found != server->waiting.end())
        {
            found->second->reply = std::move(reply);
            found->second->ready.cancel();
        }
    }
    const time_point due = store_due(server->store);
    if (due == time_point::max())
    {
        return;
    }
    server->poll_timer.expires_at(due);
    server->poll_timer.async_wait(
        [server](const boost::system::error_code& error)
        {
            if (!error)
            {
                deliver_due_replies(server);
            }
        });
}

asio::awaitable<json_reply>
serve_call(server_pointer server, platform_call call)
{
    auto executor = co_await asio::this_coro::executor;
    const store_caller caller = server->next_caller++;
    pending_store_call waiting{
        asio::steady_timer(executor, time_point::max()), std::nullopt};
    server->waiting.emplace(caller, &waiting);
    store_call(server->store, caller, call, now());
    deliver_due_replies(server);
    while (!waiting.reply)
    {
        co_await waiting.ready.async_wait(as_result);
    }
    server->waiting.erase(caller);
    json_reply reply;
    // While the platform is down, the connection closes without a reply.
    reply.drop = waiting.reply->status == platform_status::unavailable;
    const auto encoded =
        platform::store_codec().encode_reply(call, *waiting.reply);
    reply.status = encoded.status;
    reply.body = encoded.body;
    co_return reply;
}

json_reply show_calls(const platform_server& server)
{
    json::object by_kind;
    for (const auto& [operation, name] : enum_names<platform_operation>::table)
    {
        by_kind[json::string_view(name.data(), name.size())] =
            store_call_count(server.store, operation);
    }
    const store_counts& counts = server.store.counts;
    json::object object;
    object["total"] = store_call_count(server.store);
    object["by_kind"] = std::move(by_kind);
    object["rejected"] = counts.rejected;
    object["lost_answers"] = counts.lost_answers;
    object["expired_leases"] = counts.expired_leases;
    object["revision"] = server.store.revision;
    return {200, json::serialize(object), false};
}

json_reply show_faults(const store_faults& faults)
{
    json::object object;
    object["down"] = faults.down;
    object["slow_ms"] = to_milliseconds(faults.delay);
    object["lose_answers_after_write"] = faults.lose_answer_probability;
    object["lose_next_answers"] = faults.lose_next_answers;
    object["calls_per_second"] = faults.calls_per_second;
    return {200, json::serialize(object), false};
}

// Sets one fault. Returns false when the name is unknown or the value has the
// wrong type or range.
bool set_fault(
    platform_server& server, store_faults& faults, std::string_view name,
    const json::value& value)
{
    if (name == "down" || name == "lapse_leases")
    {
        const bool* on = value.if_bool();
        if (on != nullptr && name == "down")
        {
            faults.down = *on;
        }
        if (on != nullptr && *on && name == "lapse_leases")
        {
            store_expire_all_leases(server.store, now());
        }
        return on != nullptr;
    }
    if (name == "lose_answers_after_write" && value.is_bool())
    {
        faults.lose_answer_probability = value.get_bool() ? 1.0 : 0.0;
        return true;
    }
    json::error_code error;
    const auto number = value.to_number<double>(error);
    constexpr double max_value = 1e9;
    if (error || number < 0 || number > max_value)
    {
        return false;
    }
    if (name == "slow_ms")
    {
        faults.delay = from_seconds(number / 1000.0);
    }
    else if (name == "lose_answers_after_write")
    {
        faults.lose_answer_probability = number;
    }
    else if (name == "lose_next_answers")
    {
        faults.lose_next_answers = static_cast<std::uint32_t>(number);
    }
    else if (name == "calls_per_second")
    {
        faults.calls_per_second = static_cast<std::uint32_t>(number);
    }
    else
    {
        return false;
    }
    return true;
}

json_reply change_faults(platform_server& server, std::string_view body)
{
    json::error_code error;
    const json::value value =
        json::parse(json::string_view(body.data(), body.size()), error);
    if (error || !value.is_object())
    {
        return json_error(400, "the body must be a JSON object");
    }
    store_faults changed = server.store.faults;
    findings found;
    for (const auto& [name, setting] : value.get_object())
    {
        const std::string_view key(name.data(), name.size());
        if (!set_fault(server, changed, key, setting))
        {
            add_finding(
                found, "/" + std::string(key), "unknown fault or bad value");
        }
    }
    if (!found.empty())
    {
        return json_error(400, to_string(found));
    }
    server.store.faults = changed;
    return show_faults(changed);
}

asio::awaitable<json_reply> serve(server_pointer server, json_request request)
{
    const bool is_get = request.method == "GET";
    if (is_get && request.target == "/v1/calls")
    {
        co_return show_calls(*server);
    }
    if (is_get && request.target == "/v1/faults")
    {
        co_return show_faults(server->store.faults);
    }
    if (request.method == "PUT" && request.target == "/v1/faults")
    {
        auto reply = change_faults(*server, request.body);
        deliver_due_replies(server);
        co_return reply;
    }
    const auto call = platform::store_codec().decode_call(
        {request.method, request.target, request.body});
    if (!call.ok())
    {
        const unsigned status =
            call.status().code() == absl::StatusCode::kNotFound ? 404 : 400;
        const auto text = call.status().message();
        co_return json_error(
            status, std::string_view(text.data(), text.size()));
    }
    co_return co_await serve_call(server, *call);
}

} // namespace

server_pointer make_platform_server(const asio::any_io_executor& executor)
{
    return std::make_shared<platform_server>(executor);
}

absl::StatusOr<asio::ip::tcp::endpoint> start_platform_server(
    const server_pointer& server, const asio::ip::tcp::endpoint& endpoint)
{
    return start_json_server(
        server->poll_timer.get_executor(), endpoint,
        [server](json_request request)
        {
            return serve(server, std::move(request));
        });
}

key_value_store& platform_store(platform_server& server)
{
    return server.store;
}

} // namespace cyclamenhold
