// The state of one stand-in upstream: faults in force, slots, service times,
// and the log of what it received and ran. All of it belongs to one thread.
#pragma once

#include "upstream_settings.hpp"

#include "adapters/async_semaphore.hpp"
#include "adapters/http_client.hpp"
#include "core/base/random.hpp"
#include "core/base/time.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cyclamenhold
{

struct upstream_faults
{
    // Service times are multiplied by this.
    double slow_factor = 1.0;
    // The share of requests answered 503 at once.
    double shed_share = 0.0;
    // The health and load endpoints say the opposite of the truth.
    bool lie = false;
    // The health and load endpoints report this long ago.
    duration lag{};
    // New connections are closed at once until then.
    time_point refuse_until{};
};

// One request that took a slot.
struct logged_request
{
    std::string marker;
    std::string path;
    // Milliseconds since the Unix epoch.
    std::uint64_t started_ms = 0;
    // Zero while it runs.
    std::uint64_t finished_ms = 0;
    std::uint64_t bytes = 0;
    bool aborted = false;
};

struct upstream_counts
{
    std::uint64_t received = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t aborted = 0;
    std::uint64_t shed = 0;
    // Requests whose deadline had passed before they got a slot.
    std::uint64_t expired = 0;
    std::uint64_t connections = 0;
    std::uint64_t refused_connections = 0;
    std::uint64_t child_calls = 0;
    std::uint64_t failed_child_calls = 0;
};

// What the load endpoint shows, sampled now and then so that it can lag.
struct load_sample
{
    time_point at{};
    std::size_t in_flight = 0;
    std::size_t queued = 0;
};

struct upstream_state
{
    upstream_state(boost::asio::io_context& on, const upstream_settings& with);

    boost::asio::io_context& context;
    upstream_settings settings;
    upstream_faults faults;
    upstream_counts counts;
    random_source random;
    time_point started_at;
    time_point last_request_at;
    async_semaphore slots;
    // Closes each open connection, by its number.
    std::map<std::uint64_t, std::function<void()>> open_connections;
    std::uint64_t next_connection = 1;
    // Connections with a lower number neither read nor answer any more.
    std::uint64_t silent_below = 0;
    bool stopping = false;
    std::deque<load_sample> samples;
    // The newest entries; those of running requests are shared with them.
    std::deque<std::shared_ptr<logged_request>> ran;
    // Raw header bytes as they came, the oldest dropped.
    std::string received;
    // One pool for the node, or one for each direct endpoint.
    std::map<boost::asio::ip::tcp::endpoint, std::unique_ptr<http_pool>> pools;
};

[[nodiscard]] std::size_t in_flight(const upstream_state& upstream);

// Draws how long the next request works.
[[nodiscard]] duration
draw_service_time(upstream_state& upstream, time_point now);

[[nodiscard]] http_pool& pool_for(
    upstream_state& upstream, const boost::asio::ip::tcp::endpoint& endpoint);

// Keeps header bytes, dropping the oldest above the bound.
void append_received(upstream_state& upstream, std::string_view bytes);

// Adds an entry for a request that begins to run.
[[nodiscard]] std::shared_ptr<logged_request> log_request_start(
    upstream_state& upstream, std::string marker, std::string path,
    std::uint64_t bytes);
void log_request_end(
    upstream_state& upstream, logged_request& entry, bool aborted);

} // namespace cyclamenhold
