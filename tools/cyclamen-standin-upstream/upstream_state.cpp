#include "upstream_state.hpp"

#include "adapters/clock.hpp"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace cyclamenhold
{
namespace
{

constexpr std::size_t max_child_connections = 256;

double draw_factor(upstream_state& upstream)
{
    const double sigma = upstream.settings.sigma;
    switch (upstream.settings.distribution)
    {
    case time_distribution::fixed:
        return 1.0;
    case time_distribution::exponential:
        return std::exponential_distribution<double>(1.0)(upstream.random);
    case time_distribution::lognormal:
        // The mean of exp(N(-sigma^2 / 2, sigma)) is 1.
        return std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(
            upstream.random);
    }
    return 1.0;
}

// Falls linearly from the configured factor to 1 during the warm-up.
double cold_factor(const upstream_state& upstream, time_point now)
{
    const duration age = now - upstream.started_at;
    const duration warm_up = upstream.settings.warm_up;
    if (age >= warm_up)
    {
        return 1.0;
    }
    const double remaining = 1.0 - to_seconds(age) / to_seconds(warm_up);
    return 1.0 + (upstream.settings.cold_factor - 1.0) * remaining;
}

} // namespace

upstream_state::upstream_state(
    boost::asio::io_context& io, const upstream_settings& initial)
    : context(io),
      settings(initial),
      random(initial.seed),
      started_at(now()),
      last_request_at(started_at)
{
    slots.available = settings.slots;
}

std::size_t in_flight(const upstream_state& upstream)
{
    return upstream.settings.slots - upstream.slots.available;
}

duration draw_service_time(upstream_state& upstream, time_point now)
{
    const double factor = draw_factor(upstream) * cold_factor(upstream, now) *
                          upstream.faults.slow_factor;
    return from_seconds(to_seconds(upstream.settings.service_time) * factor);
}

http_pool& pool_for(
    upstream_state& upstream, const boost::asio::ip::tcp::endpoint& endpoint)
{
    auto& pool = upstream.pools[endpoint];
    if (!pool)
    {
        pool = std::make_unique<http_pool>(
            upstream.context.get_executor(), endpoint, max_child_connections);
    }
    return *pool;
}

void append_received(upstream_state& upstream, std::string_view bytes)
{
    upstream.received.append(bytes);
    const std::size_t limit = upstream.settings.max_received_bytes;
    // Trimmed only at twice the limit, so that appending is amortized O(1).
    if (upstream.received.size() > 2 * limit)
    {
        upstream.received.erase(0, upstream.received.size() - limit);
    }
}

std::shared_ptr<logged_request> log_request_start(
    upstream_state& upstream, std::string marker, std::string path,
    std::uint64_t bytes)
{
    auto entry = std::make_shared<logged_request>();
    entry->marker = std::move(marker);
    entry->path = std::move(path);
    entry->bytes = bytes;
    entry->started_ms = wall_clock_ms();
    upstream.ran.push_back(entry);
    if (upstream.ran.size() > upstream.settings.max_logged_requests)
    {
        upstream.ran.pop_front();
    }
    ++upstream.counts.started;
    return entry;
}

void log_request_end(
    upstream_state& upstream, logged_request& entry, bool aborted)
{
    entry.finished_ms = wall_clock_ms();
    entry.aborted = aborted;
    ++(aborted ? upstream.counts.aborted : upstream.counts.finished);
}

} // namespace cyclamenhold
