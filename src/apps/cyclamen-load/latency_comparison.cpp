#include "latency_comparison.hpp"

#include "adapters/clock.hpp"
#include "adapters/http_client.hpp"
#include "core/base/random.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace cyclamenhold
{
namespace asio = boost::asio;

namespace
{

constexpr std::size_t connections = 64;

struct call_path
{
    call_path(
        asio::io_context& context, const asio::ip::tcp::endpoint& endpoint)
        : pool(context.get_executor(), endpoint, connections)
    {
    }
    http_pool pool;
    http_call call;
    std::uint64_t failed = 0;
    std::vector<double> latencies_ms;
};

struct comparison
{
    explicit comparison(const comparison_settings& with)
        : settings(with),
          direct(context, settings.direct),
          through(context, settings.through),
          random(settings.seed)
    {
    }
    const comparison_settings& settings;
    asio::io_context context{1};
    call_path direct;
    call_path through;
    random_source random;
    time_point measured_from;
};

asio::awaitable<void> run_call(comparison& run, call_path& path)
{
    http_call call = path.call;
    const time_point sent = now();
    const http_result result = co_await http_send(path.pool, std::move(call));
    const duration latency = now() - sent;
    if (sent < run.measured_from)
    {
        co_return;
    }
    if (result.http_status != 200)
    {
        ++path.failed;
        co_return;
    }
    path.latencies_ms.push_back(to_seconds(latency) * 1000.0);
}

asio::awaitable<void> send_alternating(comparison& run)
{
    const time_point start = now();
    const time_point end =
        start + from_seconds(run.settings.warm_up_s + run.settings.duration_s);
    run.measured_from = start + from_seconds(run.settings.warm_up_s);
    asio::steady_timer timer(run.context);
    std::exponential_distribution<double> gap(run.settings.rate);
    bool direct = false;
    for (time_point at = start; at < end; at += from_seconds(gap(run.random)))
    {
        timer.expires_at(at);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        direct = !direct;
        asio::co_spawn(
            run.context, run_call(run, direct ? run.direct : run.through),
            asio::detached);
    }
}

path_figures figures_of(call_path& path)
{
    path_figures figures;
    auto& latencies = path.latencies_ms;
    std::ranges::sort(latencies);
    figures.calls = latencies.size();
    figures.failed = path.failed;
    if (!latencies.empty())
    {
        figures.p50_ms = latencies[latencies.size() / 2];
        figures.p99_ms = latencies[latencies.size() * 99 / 100];
    }
    return figures;
}

boost::json::object to_object(const path_figures& figures)
{
    return {
        {"calls", figures.calls},
        {"failed", figures.failed},
        {"p50_ms", figures.p50_ms},
        {"p99_ms", figures.p99_ms}};
}

} // namespace

comparison_figures compare_latency(const comparison_settings& settings)
{
    comparison run(settings);
    http_call call;
    call.method = "POST";
    call.target = settings.target;
    call.body.assign(settings.body_bytes, 'b');
    run.direct.call = call;
    if (!settings.key.empty())
    {
        call.headers.push_back({"Authorization", "Bearer " + settings.key});
    }
    run.through.call = call;
    asio::co_spawn(run.context, send_alternating(run), asio::detached);
    run.context.run();
    return {figures_of(run.direct), figures_of(run.through)};
}

std::string
to_json(const comparison_settings& settings, const comparison_figures& figures)
{
    boost::json::object object{
        {"rate", settings.rate},
        {"duration_s", settings.duration_s},
        {"direct", to_object(figures.direct)},
        {"through", to_object(figures.through)},
        {"added_p50_ms", figures.through.p50_ms - figures.direct.p50_ms},
        {"added_p99_ms", figures.through.p99_ms - figures.direct.p99_ms}};
    return boost::json::serialize(object);
}

} // namespace cyclamenhold
