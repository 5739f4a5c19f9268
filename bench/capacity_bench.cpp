// Computes the slopes in docs/CAPACITY.md: growth of memory and time with the
// number of elements, each from several sizes. Prints one JSON object.
#include "core/events/time_line.hpp"
#include "core/request/request_tables.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <string_view>
#include <vector>

#include <boost/json.hpp>
#include <malloc.h>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;

constexpr std::size_t repetitions = 5;
constexpr std::string_view fleet_secret = "0123456789abcdef";

struct sample
{
    double size = 0.0;
    double microseconds = 0.0;
    double bytes = 0.0;
};

std::size_t heap_bytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

// Returns the shortest time of several runs, and the heap bytes held by the
// last result.
template <class Work>
sample measure(std::size_t size, Work work)
{
    sample best;
    best.size = static_cast<double>(size);
    for (std::size_t run = 0; run < repetitions; ++run)
    {
        const std::size_t heap_before = heap_bytes();
        const auto start = std::chrono::steady_clock::now();
        const auto result = work();
        const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - start;
        best.bytes = static_cast<double>(heap_bytes() - heap_before);
        best.microseconds = run == 0
                                ? elapsed.count()
                                : std::min(best.microseconds, elapsed.count());
        static_cast<void>(result);
    }
    return best;
}

// The slope of the least-squares line through the samples: the growth for each
// additional element.
template <class Value>
double slope_of(const std::vector<sample>& samples, Value value)
{
    double mean_size = 0.0;
    double mean_value = 0.0;
    for (const auto& entry : samples)
    {
        mean_size += entry.size / static_cast<double>(samples.size());
        mean_value += value(entry) / static_cast<double>(samples.size());
    }
    double covariance = 0.0;
    double variance = 0.0;
    for (const auto& entry : samples)
    {
        covariance += (entry.size - mean_size) * (value(entry) - mean_value);
        variance += (entry.size - mean_size) * (entry.size - mean_size);
    }
    return covariance / variance;
}

json::object describe(std::string_view unit, const std::vector<sample>& samples)
{
    json::array sizes;
    for (const auto& [size, microseconds, bytes] : samples)
    {
        sizes.push_back(
            {{"size", size}, {"microseconds", microseconds}, {"bytes", bytes}});
    }
    const auto time_of = [](const sample& entry)
    {
        return entry.microseconds;
    };
    const auto bytes_of = [](const sample& entry)
    {
        return entry.bytes;
    };
    return {
        {"unit", json::string(unit.data(), unit.size())},
        {"microseconds_each", slope_of(samples, time_of)},
        {"bytes_each", slope_of(samples, bytes_of)},
        {"samples", std::move(sizes)}};
}

event_record record_of(std::size_t host, std::size_t index)
{
    event_record record;
    record.time = make_hybrid_time(1'700'000'000'000 + index * 7 + host % 7);
    record.host = make_host_id(static_cast<std::uint32_t>(host), 7400);
    record.what.kind = event_kind::attempt_started;
    record.what.trace = {index, host};
    record.what.detail = "to 10.0.0.2:7400 after 1 attempt";
    return record;
}

json::object measure_event_ring()
{
    std::vector<sample> samples;
    for (const std::size_t size : {4'096U, 16'384U, 65'536U})
    {
        samples.push_back(measure(
            size,
            [size]
            {
                event_ring ring;
                ring.capacity = size;
                for (std::size_t index = 0; index < size; ++index)
                {
                    add_event(ring, record_of(1, index));
                }
                return ring;
            }));
    }
    return describe("event kept in a ring", samples);
}

json::object measure_time_line()
{
    constexpr std::size_t events_a_node = 20;
    std::vector<sample> samples;
    for (const std::size_t nodes : {12U, 100U, 800U, 8'300U})
    {
        std::vector<std::vector<event_record>> inputs(nodes);
        for (std::size_t node = 0; node < nodes; ++node)
        {
            for (std::size_t index = 0; index < events_a_node; ++index)
            {
                inputs[node].push_back(record_of(node, index));
            }
        }
        samples.push_back(measure(
            nodes,
            [&inputs]
            {
                return merge_time_line(inputs, {});
            }));
    }
    return describe("node with 20 events in a time line", samples);
}

configuration configuration_of(std::size_t routes)
{
    configuration generated;
    generated.revision = 1;
    for (std::size_t index = 0; index < routes; ++index)
    {
        const std::string name = "service-" + std::to_string(index);
        route entry;
        entry.name = name;
        entry.path_prefix = '/' + name;
        entry.service = name;
        generated.routes.push_back(entry);
        generated.keys.push_back(
            {"k" + std::to_string(index), "school", {}, false});
    }
    return generated;
}

json::object measure_tables()
{
    std::vector<sample> samples;
    for (const std::size_t routes : {100U, 710U, 2'840U})
    {
        const configuration current = configuration_of(routes);
        samples.push_back(measure(
            routes,
            [&current]
            {
                return build_request_tables(current);
            }));
    }
    return describe("route and key in the request tables", samples);
}

json::object measure_lookup()
{
    constexpr std::size_t lookups = 1'000;
    std::vector<sample> samples;
    for (const std::size_t routes : {100U, 710U, 2'840U})
    {
        const request_tables tables =
            build_request_tables(configuration_of(routes));
        auto entry = measure(
            routes,
            [&tables, routes]
            {
                std::size_t found = 0;
                for (std::size_t index = 0; index < lookups; ++index)
                {
                    const std::string path =
                        "/service-" + std::to_string(index % routes) + "/x";
                    found += find_route(tables, {}, "GET", path) != nullptr;
                    found += authenticate(tables, fleet_secret, "cyk_k1_x") !=
                             workspace_id::none;
                }
                return found;
            });
        entry.microseconds /= lookups;
        samples.push_back(entry);
    }
    return describe("route searched for each request", samples);
}

} // namespace
} // namespace cyclamenhold

int main()
{
    using namespace cyclamenhold;
    const json::object slopes{
        {"event_ring", measure_event_ring()},
        {"time_line", measure_time_line()},
        {"request_tables", measure_tables()},
        {"request_lookup", measure_lookup()}};
    std::cout << json::serialize(slopes) << '\n';
}
