#include "announcer.hpp"

#include "adapters/clock.hpp"
#include "adapters/json_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace cyclamenhold
{
namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using upstream_pointer = std::shared_ptr<upstream_state>;

namespace
{

constexpr auto announce_interval = 1s;
constexpr auto announce_retry = 100ms;
constexpr auto announce_timeout = 500ms;
// A draining upstream without a request for this long counts as drained.
constexpr auto drain_idle_time = 300ms;
constexpr auto stop_poll = 20ms;
// Bounds the lag that the health and load endpoints can simulate.
constexpr auto max_sample_age = 60s;

asio::awaitable<void> pause_for(duration time)
{
    auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<bool> post_to_node(
    upstream_state& upstream, const char* target, const json::object& body)
{
    http_call call;
    call.method = "POST";
    call.target = target;
    call.headers.push_back({"Content-Type", "application/json"});
    call.body = json::serialize(body);
    call.timeout = announce_timeout;
    auto& pool = pool_for(upstream, *upstream.settings.node);
    const http_result result = co_await http_send(pool, std::move(call));
    co_return result.status ==
        http_call_status::answered&& result.http_status < 300;
}

json::object
identity(const upstream_state& upstream, const tcp::endpoint& listening)
{
    json::object body;
    body["service"] = upstream.settings.service;
    body["endpoint"] = to_string(listening);
    return body;
}

void record_load_sample(upstream_state& upstream)
{
    const time_point at = now();
    upstream.samples.push_back(
        {at, in_flight(upstream), upstream.slots.waiters.size()});
    while (upstream.samples.front().at < at - max_sample_age)
    {
        upstream.samples.pop_front();
    }
}

bool is_drained(const upstream_state& upstream)
{
    return in_flight(upstream) == 0 && upstream.slots.waiters.empty() &&
           now() - upstream.last_request_at >= drain_idle_time;
}

} // namespace

asio::awaitable<void>
announce_upstream(upstream_pointer upstream, tcp::endpoint listening)
{
    const upstream_settings& settings = upstream->settings;
    json::object body = identity(*upstream, listening);
    body["slots"] = settings.slots;
    body["connections"] = settings.connections;
    body["warm_up_ms"] = to_milliseconds(settings.warm_up);
    while (!upstream->stopping)
    {
        record_load_sample(*upstream);
        bool announced = true;
        if (settings.node)
        {
            announced =
                co_await post_to_node(*upstream, "/v1/upstream/announce", body);
        }
        co_await pause_for(
            announced ? duration(announce_interval) : duration(announce_retry));
    }
}

asio::awaitable<void>
stop_upstream(upstream_pointer upstream, tcp::endpoint listening)
{
    const time_point deadline = now() + upstream->settings.stop_time;
    upstream->stopping = true;
    const json::object body = identity(*upstream, listening);
    if (upstream->settings.node)
    {
        co_await post_to_node(*upstream, "/v1/upstream/drain", body);
    }
    upstream->last_request_at = now();
    while (!is_drained(*upstream) && now() < deadline)
    {
        co_await pause_for(stop_poll);
    }
    if (upstream->settings.node)
    {
        co_await post_to_node(*upstream, "/v1/upstream/leave", body);
    }
    upstream->context.stop();
}

} // namespace cyclamenhold
