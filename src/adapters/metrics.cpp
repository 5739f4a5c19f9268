#include "adapters/metrics.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>

#include <unistd.h>

namespace cyclamenhold
{
namespace
{

constexpr unsigned latency_bucket_count = 70;
constexpr double shortest_latency_s = 10e-6;
constexpr double longest_latency_s = 100.0;
constexpr double nanoseconds_per_second = 1e9;

constexpr std::array<metric_description, counter_count> counter_table{
    {{"cyclamen_attempts_total", "Attempts sent to upstreams"},
     {"cyclamen_retries_total", "Attempts beyond the first of a call"},
     {"cyclamen_child_calls_total", "Calls made by the local upstream"},
     {"cyclamen_rate_admitted_total", "Requests that took a rate token"},
     {"cyclamen_rate_refused_total", "Requests that found no rate token"},
     {"cyclamen_loans_granted_total", "Loans of rate granted to others"},
     {"cyclamen_loans_returned_total", "Loans of rate handed back"},
     {"cyclamen_claims_granted_total", "Claims on never-repeat requests"},
     {"cyclamen_claims_refused_total", "Claims that were not granted"},
     {"cyclamen_gate_started_total", "Requests started at the last gate"},
     {"cyclamen_gate_refused_total", "Requests refused at the last gate"},
     {"cyclamen_caller_connections_opened_total", "Callers' connections"},
     {"cyclamen_peer_links_opened_total", "Peer links authenticated"},
     {"cyclamen_peer_links_rejected_total", "Peer links rejected"},
     {"cyclamen_peer_received_bytes_total", "Bytes read from peer links"},
     {"cyclamen_peer_sent_bytes_total", "Bytes written to peer links"},
     {"cyclamen_datagrams_received_total", "Datagrams received"},
     {"cyclamen_datagrams_sent_total", "Datagrams sent"},
     {"cyclamen_datagram_received_bytes_total", "Bytes of datagrams received"},
     {"cyclamen_datagram_sent_bytes_total", "Bytes of datagrams sent"},
     {"cyclamen_bad_inputs_total", "Malformed messages that were dropped"},
     {"cyclamen_events_overwritten_total", "Events lost from the ring"},
     {"cyclamen_control_microseconds_total",
      "Processor time of the control thread"}}};

constexpr std::array<metric_description, gauge_count> gauge_table{
    {{"cyclamen_requests_in_flight", "Callers' requests under way"},
     {"cyclamen_gate_queue", "Requests waiting at the last gate"},
     {"cyclamen_gate_limit", "Concurrency limit of the last gate"},
     {"cyclamen_gate_in_flight", "Requests running behind the last gate"},
     {"cyclamen_caller_connections", "Open connections of callers"},
     {"cyclamen_peers_connected", "Peer links that are up"},
     {"cyclamen_members_alive", "Members believed to be alive"},
     {"cyclamen_members_suspect", "Members under suspicion"},
     {"cyclamen_upstreams_usable", "Upstreams that may be tried"},
     {"cyclamen_configuration_revision", "Configuration revision in force"},
     {"cyclamen_platform_reachable", "1 while the platform answers"},
     {"cyclamen_resident_bytes", "Resident memory of the process"},
     {"cyclamen_upstream_cold_rate",
      "Requests a second that the cold upstream takes; 0 if not cold"}}};

constexpr std::array<metric_description, histogram_count> histogram_table{
    {{"cyclamen_request_seconds", "From a request's header to its last byte"},
     {"cyclamen_added_seconds", "Time of a call spent outside the upstream"},
     {"cyclamen_gate_wait_seconds", "Time spent in the last gate's queue"},
     {"cyclamen_token_wait_seconds", "Time spent waiting for a rate token"},
     {"cyclamen_claim_seconds", "Time from asking for a claim to its answer"},
     {"cyclamen_platform_seconds", "Time of calls to the platform"}}};

template <class Id>
constexpr std::size_t index_of(Id id)
{
    return static_cast<std::size_t>(id);
}

std::string number_text(double value)
{
    std::array<char, 32> text{};
    const auto [end, error] =
        std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), end};
}

void write_header(
    std::string& text, const metric_description& what, std::string_view type)
{
    text += "# HELP ";
    text += what.name;
    text += ' ';
    text += what.help;
    text += "\n# TYPE ";
    text += what.name;
    text += ' ';
    text += type;
    text += '\n';
}

// Writes one sample; `labels` is empty or includes the braces.
void write_sample(
    std::string& text, std::string_view name, std::string_view labels,
    const std::string& value)
{
    text += name;
    text += labels;
    text += ' ';
    text += value;
    text += '\n';
}

std::string label_text(
    std::string_view first, std::string_view first_value,
    std::string_view second, std::string_view second_value)
{
    std::string text = "{";
    text += first;
    text += "=\"";
    text += first_value;
    text += "\",";
    text += second;
    text += "=\"";
    text += second_value;
    text += "\"}";
    return text;
}

void write_histogram(
    std::string& text, const metric_description& what,
    const latency_histogram& histogram)
{
    write_header(text, what, "histogram");
    const std::string bucket_name = std::string(what.name) + "_bucket";
    const auto& axis = histogram.buckets.axis();
    // Index -1 is the underflow bin. Buckets are cumulative, so each contains
    // it.
    std::uint64_t count = histogram.buckets.at(-1).value();
    for (int index = 0; index < axis.size(); ++index)
    {
        count += histogram.buckets.at(index).value();
        const std::string bound = number_text(axis.bin(index).upper());
        write_sample(
            text, bucket_name, "{le=\"" + bound + "\"}", std::to_string(count));
    }
    count += histogram.buckets.at(axis.size()).value();
    write_sample(text, bucket_name, "{le=\"+Inf\"}", std::to_string(count));
    const double sum =
        static_cast<double>(histogram.sum_ns.load()) / nanoseconds_per_second;
    write_sample(text, std::string(what.name) + "_sum", "", number_text(sum));
    write_sample(
        text, std::string(what.name) + "_count", "", std::to_string(count));
}

void write_requests(std::string& text, const metrics& source)
{
    constexpr metric_description what{
        "cyclamen_requests_total",
        "Callers' requests by refusal (none for replies) and outcome"};
    write_header(text, what, "counter");
    for (const auto& [reason, reason_name] : enum_names<refusal>::table)
    {
        for (const auto& [result, result_name] : enum_names<outcome>::table)
        {
            const auto count =
                source.requests[index_of(reason)][index_of(result)].load();
            if (count > 0)
            {
                write_sample(
                    text, what.name,
                    label_text("refusal", reason_name, "outcome", result_name),
                    std::to_string(count));
            }
        }
    }
}

void write_refused_classes(std::string& text, const metrics& source)
{
    constexpr metric_description what{
        "cyclamen_refused_total", "Refused requests by priority class"};
    write_header(text, what, "counter");
    for (const auto& [priority, name] : enum_names<priority_class>::table)
    {
        write_sample(
            text, what.name, "{class=\"" + std::string(name) + "\"}",
            std::to_string(source.refused_by_class[index_of(priority)].load()));
    }
}

void write_platform_calls(std::string& text, const metrics& source)
{
    constexpr metric_description what{
        "cyclamen_platform_calls_total",
        "Calls to the platform by operation and status"};
    write_header(text, what, "counter");
    for (const auto& [operation, operation_name] :
         enum_names<platform_operation>::table)
    {
        for (const auto& [status, status_name] :
             enum_names<platform_status>::table)
        {
            const auto count =
                source.platform_calls[index_of(operation)][index_of(status)]
                    .load();
            if (count > 0)
            {
                write_sample(
                    text, what.name,
                    label_text(
                        "operation", operation_name, "status", status_name),
                    std::to_string(count));
            }
        }
    }
}

} // namespace

latency_histogram::latency_histogram()
    : buckets(
          std::tuple(latency_axis(
              latency_bucket_count, shortest_latency_s, longest_latency_s)),
          latency_storage())
{
}

const metric_description& description_of(counter_id id)
{
    return counter_table[index_of(id)];
}

const metric_description& description_of(gauge_id id)
{
    return gauge_table[index_of(id)];
}

const metric_description& description_of(histogram_id id)
{
    return histogram_table[index_of(id)];
}

void add(metrics& target, counter_id id, std::uint64_t amount)
{
    target.counters[index_of(id)].fetch_add(amount, std::memory_order_relaxed);
}

void set(metrics& target, gauge_id id, std::int64_t value)
{
    target.gauges[index_of(id)].store(value, std::memory_order_relaxed);
}

void change(metrics& target, gauge_id id, std::int64_t difference)
{
    target.gauges[index_of(id)].fetch_add(
        difference, std::memory_order_relaxed);
}

void observe(metrics& target, histogram_id id, duration value)
{
    const duration positive = std::max(value, duration::zero());
    auto& [buckets, sum_ns] = target.histograms[index_of(id)];
    buckets(to_seconds(positive));
    const auto nanoseconds =
        std::chrono::duration_cast<std::chrono::nanoseconds>(positive).count();
    sum_ns.fetch_add(
        static_cast<std::uint64_t>(nanoseconds), std::memory_order_relaxed);
}

void count_request(metrics& target, refusal reason, outcome result)
{
    target.requests[index_of(reason)][index_of(result)].fetch_add(
        1, std::memory_order_relaxed);
}

void count_refused_class(metrics& target, priority_class priority)
{
    target.refused_by_class[index_of(priority)].fetch_add(
        1, std::memory_order_relaxed);
}

void count_platform_call(
    metrics& target, platform_operation operation, platform_status status)
{
    target.platform_calls[index_of(operation)][index_of(status)].fetch_add(
        1, std::memory_order_relaxed);
}

std::uint64_t value_of(const metrics& source, counter_id id)
{
    return source.counters[index_of(id)].load(std::memory_order_relaxed);
}

duration quantile(const metrics& source, histogram_id id, double share)
{
    const auto& buckets = source.histograms[index_of(id)].buckets;
    const auto& axis = buckets.axis();
    std::uint64_t total = 0;
    for (int index = -1; index <= axis.size(); ++index)
    {
        total += buckets.at(index).value();
    }
    if (total == 0)
    {
        return duration::zero();
    }
    const double wanted = share * static_cast<double>(total);
    std::uint64_t count = buckets.at(-1).value();
    double bound = shortest_latency_s;
    for (int index = 0;
         index < axis.size() && static_cast<double>(count) < wanted; ++index)
    {
        count += buckets.at(index).value();
        bound = axis.bin(index).upper();
    }
    return from_seconds(bound);
}

std::string to_prometheus_text(const metrics& source)
{
    std::string text;
    write_requests(text, source);
    write_refused_classes(text, source);
    write_platform_calls(text, source);
    for (std::size_t index = 0; index < counter_count; ++index)
    {
        const metric_description& what = counter_table[index];
        write_header(text, what, "counter");
        write_sample(
            text, what.name, "", std::to_string(source.counters[index].load()));
    }
    for (std::size_t index = 0; index < gauge_count; ++index)
    {
        const metric_description& what = gauge_table[index];
        write_header(text, what, "gauge");
        write_sample(
            text, what.name, "", std::to_string(source.gauges[index].load()));
    }
    for (std::size_t index = 0; index < histogram_count; ++index)
    {
        write_histogram(text, histogram_table[index], source.histograms[index]);
    }
    return text;
}

void update_resident_bytes(metrics& target)
{
    std::ifstream file("/proc/self/statm");
    std::int64_t total_pages = 0;
    std::int64_t resident_pages = 0;
    if (file >> total_pages >> resident_pages)
    {
        set(target, gauge_id::resident_bytes,
            resident_pages * sysconf(_SC_PAGESIZE));
    }
}

} // namespace cyclamenhold
