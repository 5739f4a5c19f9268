#include "adapters/platform_client.hpp"

#include "adapters/clock.hpp"
#include "adapters/http_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cyclamenhold
{
namespace asio = boost::asio;

struct platform_connections
{
    platform_connections(
        const asio::any_io_executor& executor,
        const platform_connection_settings& initial)
        : settings(initial),
          calls(executor, initial.endpoint, initial.connections),
          watches(executor, initial.endpoint, initial.watch_connections),
          random(initial.seed),
          backoff(initial.initial_backoff)
    {
    }
    platform_connection_settings settings;
    http_pool calls;
    http_pool watches;
    random_source random;
    std::size_t pending = 0;
    // The bound of the next random wait.
    duration backoff;
    // No call is sent before this time.
    time_point backoff_until{};
};

namespace
{

using client_pointer = std::shared_ptr<platform_connections>;

platform_reply unavailable_reply(const platform_call& call)
{
    platform_reply reply;
    reply.client = call.client;
    reply.call_id = call.call_id;
    reply.status = platform_status::unavailable;
    return reply;
}

// Sends no call for a random share of the backoff, so that the calls of many
// clients spread out.
void record_failure(platform_connections& client)
{
    const time_point at = now();
    if (at < client.backoff_until)
    {
        return;
    }
    const double share = random_fraction(client.random);
    client.backoff_until =
        at + from_seconds(share * to_seconds(client.backoff));
    client.backoff = std::min(client.backoff * 2, client.settings.max_backoff);
}

void record_success(platform_connections& client)
{
    client.backoff = client.settings.initial_backoff;
    client.backoff_until = {};
}

// Waits until the backoff is over; false when that is after `deadline`.
asio::awaitable<bool>
wait_for_backoff(platform_connections& client, time_point deadline)
{
    asio::steady_timer timer(client.calls.executor);
    while (client.backoff_until > now())
    {
        timer.expires_at(std::min(client.backoff_until, deadline));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (now() >= deadline)
        {
            co_return false;
        }
    }
    co_return true;
}

// The platform's era in a response; zero if it has none that can be read.
std::uint64_t era_of(const platform_codec& codec, const http_result& result)
{
    if (codec.era_header.empty())
    {
        return 0;
    }
    const auto text = header_value(result.headers, codec.era_header);
    std::uint64_t era = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), era);
    return error == std::errc() && end == text.data() + text.size() ? era : 0;
}

asio::awaitable<platform_reply>
exchange(platform_connections& client, const platform_call& call)
{
    const bool is_watch = call.operation == platform_operation::watch;
    const time_point deadline =
        now() + call.timeout + (is_watch ? call.wait : duration::zero());
    if (!co_await wait_for_backoff(client, deadline))
    {
        co_return unavailable_reply(call);
    }
    const platform_codec& codec = client.settings.codec;
    platform_request encoded = codec.encode_call(call);
    http_call request;
    request.method = std::move(encoded.method);
    request.target = std::move(encoded.target);
    request.body = std::move(encoded.body);
    request.headers.push_back({"Content-Type", "application/json"});
    request.timeout = deadline - now();
    auto& pool = is_watch ? client.watches : client.calls;
    const http_result result = co_await http_send(pool, std::move(request));
    if (result.status != http_call_status::answered)
    {
        // What made this connection fail may have made the others fail as well,
        // which only another time limit would show.
        close_idle_connections(client.calls);
        close_idle_connections(client.watches);
        record_failure(client);
        co_return unavailable_reply(call);
    }
    auto reply = codec.decode_reply(
        call, {result.http_status, result.body, era_of(codec, result)});
    if (!reply.ok() || reply->status == platform_status::unavailable ||
        reply->status == platform_status::rejected)
    {
        // A rejection, for example for overload, also starts a backoff.
        record_failure(client);
    }
    else
    {
        record_success(client);
    }
    if (!reply.ok())
    {
        co_return unavailable_reply(call);
    }
    reply->client = call.client;
    reply->call_id = call.call_id;
    co_return *std::move(reply);
}

asio::awaitable<void>
run_call(client_pointer client, platform_call call, platform_callback callback)
{
    auto reply = co_await exchange(*client, call);
    --client->pending;
    callback(std::move(reply));
}

} // namespace

client_pointer make_platform_connections(
    const asio::any_io_executor& executor,
    const platform_connection_settings& settings)
{
    return std::make_shared<platform_connections>(executor, settings);
}

void platform_client_send(
    const client_pointer& client, platform_call call,
    platform_callback callback)
{
    const auto& executor = client->calls.executor;
    if (client->pending >= client->settings.max_pending_calls)
    {
        asio::post(
            executor,
            [reply = unavailable_reply(call), callback = std::move(callback)]
            {
                callback(reply);
            });
        return;
    }
    ++client->pending;
    // Posted, so that the callback never runs inside this function.
    asio::post(
        executor,
        [client, call = std::move(call), callback = std::move(callback)]
        {
            asio::co_spawn(
                client->calls.executor, run_call(client, call, callback),
                asio::detached);
        });
}

} // namespace cyclamenhold
