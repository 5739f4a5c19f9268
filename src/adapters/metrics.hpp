// The metrics of a node: a fixed set of counters, gauges and histograms, in the
// Prometheus text format. Updates are wait-free and thread-safe.
#pragma once

#include "core/base/names.hpp"
#include "core/base/outcome.hpp"
#include "core/base/time.hpp"
#include "ports/platform.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

namespace cyclamenhold
{

// Monotonic counters. Labelled counters have separate functions below.
enum class counter_id : std::uint8_t
{
    attempts,
    retries,
    child_calls,
    rate_admitted,
    rate_refused,
    loans_granted,
    loans_returned,
    claims_granted,
    claims_refused,
    gate_started,
    gate_refused,
    caller_connections_opened,
    peer_links_opened,
    peer_links_rejected,
    peer_bytes_received,
    peer_bytes_sent,
    datagrams_received,
    datagrams_sent,
    datagram_bytes_received,
    datagram_bytes_sent,
    bad_inputs,
    events_overwritten,
    control_microseconds
};

constexpr std::size_t counter_count = 23;

// Gauges: values that can increase and decrease.
enum class gauge_id : std::uint8_t
{
    requests_in_flight,
    gate_queue,
    gate_limit,
    gate_in_flight,
    caller_connections,
    peers_connected,
    members_alive,
    members_suspect,
    upstreams_usable,
    configuration_revision,
    platform_reachable,
    resident_bytes,
    upstream_cold_rate
};

constexpr std::size_t gauge_count = 13;

// Histograms of durations.
enum class histogram_id : std::uint8_t
{
    request_latency,
    added_latency,
    gate_wait,
    token_wait,
    claim_latency,
    platform_latency
};

constexpr std::size_t histogram_count = 6;

// Name and help text of a metric in the text format.
struct metric_description
{
    std::string_view name;
    std::string_view help;
};

[[nodiscard]] const metric_description& description_of(counter_id id);
[[nodiscard]] const metric_description& description_of(gauge_id id);
[[nodiscard]] const metric_description& description_of(histogram_id id);

// Logarithmic, from 10 us to 100 s with ten buckets per decade.
using latency_axis = boost::histogram::axis::regular<
    double, boost::histogram::axis::transform::log>;
using latency_storage = boost::histogram::dense_storage<
    boost::histogram::accumulators::count<std::uint64_t, true>>;
using latency_buckets =
    boost::histogram::histogram<std::tuple<latency_axis>, latency_storage>;

struct latency_histogram
{
    latency_histogram();
    latency_buckets buckets;
    std::atomic<std::uint64_t> sum_ns{0};
};

constexpr std::size_t outcome_count = enum_names<outcome>::table.size();
constexpr std::size_t refusal_count = enum_names<refusal>::table.size();
constexpr std::size_t platform_operation_count =
    enum_names<platform_operation>::table.size();
constexpr std::size_t platform_status_count =
    enum_names<platform_status>::table.size();

using counter_cell = std::atomic<std::uint64_t>;

struct metrics
{
    std::array<counter_cell, counter_count> counters{};
    std::array<std::atomic<std::int64_t>, gauge_count> gauges{};
    std::array<latency_histogram, histogram_count> histograms;
    // Indexed by refusal, then outcome.
    std::array<std::array<counter_cell, outcome_count>, refusal_count>
        requests{};
    // Indexed by priority class.
    std::array<counter_cell, priority_class_count> refused_by_class{};
    // Indexed by operation, then status.
    std::array<
        std::array<counter_cell, platform_status_count>,
        platform_operation_count>
        platform_calls{};
};

void add(metrics& target, counter_id id, std::uint64_t amount = 1);
void set(metrics& target, gauge_id id, std::int64_t value);
void change(metrics& target, gauge_id id, std::int64_t difference);
void observe(metrics& target, histogram_id id, duration value);

// Counts an answered request of a caller; refusal::none for an upstream's
// reply.
void count_request(metrics& target, refusal reason, outcome result);
void count_refused_class(metrics& target, priority_class priority);
void count_platform_call(
    metrics& target, platform_operation operation, platform_status status);

[[nodiscard]] std::uint64_t value_of(const metrics& source, counter_id id);

// The quantile at `share` (0 to 1) of the observations, rounded up to the upper
// bound of its bucket and at most 100 s; zero without observations.
[[nodiscard]] duration
quantile(const metrics& source, histogram_id id, double share);

// Formats all metrics in the Prometheus text format.
[[nodiscard]] std::string to_prometheus_text(const metrics& source);

// Sets the gauge of this process's resident memory from /proc/self/statm;
// leaves it unchanged if the file cannot be read.
void update_resident_bytes(metrics& target);

} // namespace cyclamenhold
