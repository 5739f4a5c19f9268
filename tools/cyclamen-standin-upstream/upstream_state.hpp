// The state of one stand-in upstream: active faults, slots, service times, and
// logs of received and processed requests. Used on one thread only.
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
    // Factor of the service times.
    double slow_factor = 1.0;
    // The fraction of requests that are shed with 503, from 0 to 1.
    double shed_share = 0.0;
    // The health and load endpoints report the inverse of the actual state.
    bool inverts_reports = false;
    // The age of the state that the health and load endpoints report.
    duration lag{};
    // New connections are closed immediately until this time.
    time_point refuse_until{};
};

// Log entry of a request that acquired a slot.
struct logged_request
{
    std::string marker;
    std::string path;
    // Milliseconds since the Unix epoch.
    std::uint64_t started_ms = 0;
    // Zero while the request runs.
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

// A sample of the load, from which the health and load endpoints report with
// a lag.
struct load_sample
{
    time_point at{};
    std::size_t in_flight = 0;
    std::size_t queued = 0;
};

struct upstream_state
{
    upstream_state(
        boost::asio::io_context& io, const upstream_settings& initial);

    boost::asio::io_context& context;
    upstream_settings settings;
    upstream_faults faults;
    upstream_counts counts;
    random_source random;
    time_point started_at;
    time_point last_request_at;
    async_semaphore slots;
    // The functions that close the open connections, by connection number.
    std::map<std::uint64_t, std::function<void()>> open_connections;
    std::uint64_t next_connection = 1;
    // Connections with a lower number read no requests and send no replies.
    std::uint64_t silent_below = 0;
    bool stopping = false;
    std::deque<load_sample> samples;
    // The newest log entries; a running request shares its entry.
    std::deque<std::shared_ptr<logged_request>> ran;
    // Received header bytes in order of arrival; the oldest are dropped.
    std::string received;
    // Connection pools to the node and to the direct endpoints.
    std::map<boost::asio::ip::tcp::endpoint, std::unique_ptr<http_pool>> pools;
};

[[nodiscard]] std::size_t in_flight(const upstream_state& upstream);

// Draws a random service time for the next request.
[[nodiscard]] duration
draw_service_time(upstream_state& upstream, time_point now);

[[nodiscard]] http_pool& pool_for(
    upstream_state& upstream, const boost::asio::ip::tcp::endpoint& endpoint);

// Appends received header bytes; drops the oldest above twice the limit.
void append_received(upstream_state& upstream, std::string_view bytes);

// Adds a log entry for a request that starts to run.
[[nodiscard]] std::shared_ptr<logged_request> log_request_start(
    upstream_state& upstream, std::string marker, std::string path,
    std::uint64_t bytes);
// Completes the log entry of a request.
void log_request_end(
    upstream_state& upstream, logged_request& entry, bool aborted);

} // namespace cyclamenhold
