#include "caller.hpp"

#include "adapters/clock.hpp"
#include "adapters/http_client.hpp"
#include "core/base/random.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <optional>
#include <thread>

namespace cyclamenhold
{
namespace asio = boost::asio;

namespace
{

constexpr std::string_view checksum_header = "X-Body-Checksum";

// One thread of the load: its connections, its arrivals and their records.
struct load_worker
{
    load_worker(
        const scenario& load_plan, const fleet& load_fleet,
        time_point start_time, std::uint64_t seed)
        : plan(load_plan),
          processes(load_fleet),
          start(start_time),
          random(seed)
    {
        for (const target_group& group : processes.groups)
        {
            add_pools(group);
        }
    }

    void add_pools(const target_group& group)
    {
        std::vector<std::unique_ptr<http_pool>> list;
        for (const auto& target : group.targets)
        {
            list.push_back(std::make_unique<http_pool>(
                context.get_executor(), target, plan.connections));
        }
        pools.push_back(std::move(list));
    }

    const scenario& plan;
    const fleet& processes;
    time_point start;
    asio::io_context context{1};
    random_source random;
    // Indexed by the fleet's groups, then by the group's targets.
    std::vector<std::vector<std::unique_ptr<http_pool>>> pools;
    std::vector<arrival> arrivals;
    std::vector<sent_call> records;
};

// A random target of the first group whose prefix matches the path; null when
// no group has a target for it.
http_pool* choose_pool(load_worker& worker, std::string_view path)
{
    const auto& groups = worker.processes.groups;
    for (std::size_t index = 0; index < groups.size(); ++index)
    {
        const auto& pools = worker.pools[index];
        if (path.starts_with(groups[index].path_prefix) && !pools.empty())
        {
            return pools[random_below(worker.random, pools.size())].get();
        }
    }
    return nullptr;
}

// A UUID of version 7: the time in milliseconds, then random bits.
std::string make_uuid(random_source& random)
{
    const std::uint64_t time_bits = wall_clock_ms() & 0xffffffffffffULL;
    const std::uint64_t high = (time_bits << 16) | 0x7000 | (random() & 0x0fff);
    const std::uint64_t low =
        (random() & 0x3fffffffffffffffULL) | 0x8000000000000000ULL;
    std::array<char, 37> text{};
    std::snprintf(
        text.data(), text.size(), "%08x-%04x-%04x-%04x-%012llx",
        static_cast<unsigned>(high >> 32),
        static_cast<unsigned>(high >> 16) & 0xffffU,
        static_cast<unsigned>(high) & 0xffffU, static_cast<unsigned>(low >> 48),
        static_cast<unsigned long long>(low & 0xffffffffffffULL));
    return text.data();
}

http_call
make_call(load_worker& worker, const arrival& scheduled, std::size_t index)
{
    const scenario_route& route = worker.plan.routes[scheduled.route];
    const scenario_workspace& workspace =
        worker.plan.workspaces[scheduled.workspace];
    http_call call;
    call.method = route.method;
    call.target = route.path + "?marker=" + std::to_string(worker.plan.seed) +
                  "-" + std::to_string(index);
    if (route.reply_bytes > 0)
    {
        call.target += "&reply_bytes=" + std::to_string(route.reply_bytes);
    }
    if (const auto key = worker.processes.keys.find(workspace.name);
        key != worker.processes.keys.end())
    {
        call.headers.push_back({"Authorization", "Bearer " + key->second});
    }
    if (route.never_repeat)
    {
        call.headers.push_back({"Idempotency-Key", make_uuid(worker.random)});
    }
    call.headers.push_back(
        {"Cyclamen-Deadline-Ms", std::to_string(static_cast<std::uint64_t>(
                                     worker.plan.timeout_s * 1000.0))});
    // Unique for each call, so that a reply to another call is detected.
    call.body = call.target;
    call.body.resize(
        std::max<std::size_t>(call.body.size(), route.body_bytes), '.');
    call.timeout = from_seconds(worker.plan.timeout_s);
    return call;
}

bool is_successful(
    const scenario_route& route, const http_result& result,
    const std::string& sent_body)
{
    if (result.status != http_call_status::answered ||
        result.http_status != 200)
    {
        return false;
    }
    if (route.reply_bytes > 0 && result.body_bytes != route.reply_bytes)
    {
        return false;
    }
    constexpr std::size_t echoed_size = 64 * 1024;
    if (route.reply_bytes == 0 && sent_body.size() <= echoed_size &&
        result.body != sent_body)
    {
        return false;
    }
    return header_value(result.headers, checksum_header) ==
           checksum_text(result.body_hash);
}

asio::awaitable<void> wait_until(time_point at)
{
    auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, at);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

// Sends one call and retries it when it fails. All attempts have the same
// idempotency key. A call of a never_repeat route is retried only when the
// reply states that it has not run.
asio::awaitable<void> run_call(load_worker& worker, std::size_t index)
{
    const arrival& scheduled = worker.arrivals[index];
    const scenario_route& route = worker.plan.routes[scheduled.route];
    sent_call record;
    record.workspace = scheduled.workspace;
    record.route = scheduled.route;
    record.at_s = scheduled.at_s;
    const http_call call = make_call(worker, scheduled, index);
    for (std::uint32_t attempt = 0; attempt <= worker.plan.retries.attempts;
         ++attempt)
    {
        if (attempt > 0)
        {
            // Jitter: 0.5 to 1.5 times the delay.
            const double share = 0.5 + random_fraction(worker.random);
            co_await wait_until(
                now() + from_seconds(share * worker.plan.retries.delay_s));
        }
        http_pool* const pool = choose_pool(worker, route.path);
        if (pool == nullptr)
        {
            break;
        }
        http_call copy = call;
        ++record.attempts;
        const http_result result = co_await http_send(*pool, std::move(copy));
        record.status = result.http_status;
        record.result = value_named<outcome>(
                            header_value(result.headers, "Cyclamen-Outcome"))
                            .value_or(outcome::unknown);
        record.succeeded = is_successful(route, result, call.body);
        if (record.succeeded ||
            (route.never_repeat && record.result != outcome::not_run))
        {
            break;
        }
    }
    record.done_s = to_seconds(now() - worker.start);
    worker.records.push_back(record);
}

asio::awaitable<void> run_arrivals(load_worker& worker)
{
    for (std::size_t index = 0; index < worker.arrivals.size(); ++index)
    {
        co_await wait_until(
            worker.start + from_seconds(worker.arrivals[index].at_s));
        asio::co_spawn(worker.context, run_call(worker, index), asio::detached);
    }
}

void run_worker(load_worker& worker)
{
    asio::co_spawn(worker.context, run_arrivals(worker), asio::detached);
    // Returns after the last call; timeouts bound the length of each call.
    worker.context.run();
}

} // namespace

std::vector<sent_call> send_calls(
    const scenario& plan, const fleet& processes,
    const std::vector<arrival>& arrivals, time_point start)
{
    std::vector<std::unique_ptr<load_worker>> workers;
    for (std::uint32_t index = 0; index < plan.threads; ++index)
    {
        workers.push_back(std::make_unique<load_worker>(
            plan, processes, start, plan.seed + index));
    }
    for (std::size_t index = 0; index < arrivals.size(); ++index)
    {
        workers[index % workers.size()]->arrivals.push_back(arrivals[index]);
    }
    std::vector<std::thread> threads;
    threads.reserve(workers.size());
    for (const auto& worker : workers)
    {
        threads.emplace_back(run_worker, std::ref(*worker));
    }
    std::vector<sent_call> records;
    for (std::size_t index = 0; index < workers.size(); ++index)
    {
        threads[index].join();
        const auto& part = workers[index]->records;
        records.insert(records.end(), part.begin(), part.end());
    }
    return records;
}

} // namespace cyclamenhold
