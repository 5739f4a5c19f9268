// Benchmarks rates and claims on a virtual fleet and prints JSON: refusals of
// requests within the rate under skewed demand, overshoot, and the control
// traffic and processor time of a node by fleet size.
#include "support/virtual_fleet.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <cstdlib>
#include <iostream>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;
using namespace testing_support;

const workspace_id school = workspace_id_of("school");

virtual_node& node_at_index(virtual_fleet& fleet, std::size_t number)
{
    auto entry = fleet.nodes.begin();
    std::advance(entry, number % fleet.nodes.size());
    return *entry->second;
}

std::unique_ptr<virtual_fleet>
start_fleet(const fleet_options& options, double rate, double burst)
{
    auto fleet = std::make_unique<virtual_fleet>(options);
    fleet->settings = std::make_shared<const configuration>(
        rates_configuration(options, rate, burst));
    fleet->oracles[school].rate = rate;
    fleet->oracles[school].burst = burst;
    fleet->start_all();
    fleet->run_for(5s);
    return fleet;
}

template <class Selector>
json::object measure_demand(double offered_rate, Selector select_node)
{
    const auto fleet = start_fleet({}, 120.0, 24.0);
    rate_oracle& oracle = fleet->oracles[school];
    const time_point end = fleet->now() + 20s;
    std::uint64_t number = 0;
    while (fleet->now() < end)
    {
        fleet->offer(
            node_at_index(*fleet, select_node(number++, fleet->now())), school,
            2s);
        fleet->run_for(from_seconds(1.0 / offered_rate));
    }
    fleet->run_for(1s);
    return {
        {"rate", oracle.rate},
        {"offered_rate", offered_rate},
        {"offered", oracle.offered},
        {"refused", oracle.refused},
        {"overshoot", std::max(0.0, oracle.highest_excess)}};
}

json::object measure_size(std::uint32_t hosts_per_data_centre)
{
    constexpr duration measured_time = 10s;
    fleet_options options;
    options.hosts_per_data_centre = hosts_per_data_centre;
    const auto fleet = start_fleet(options, 1000.0, 200.0);
    for (const auto& [host, node] : fleet->nodes)
    {
        node->messages_sent = 0;
        node->bytes_sent = 0;
    }
    const auto start_time = std::chrono::steady_clock::now();
    fleet->run_for(measured_time);
    const double host_time =
        to_seconds(std::chrono::steady_clock::now() - start_time);
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t max_bytes = 0;
    for (const auto& [host, node] : fleet->nodes)
    {
        messages += node->messages_sent;
        bytes += node->bytes_sent;
        max_bytes = std::max(max_bytes, node->bytes_sent);
    }
    const double node_seconds =
        static_cast<double>(fleet->nodes.size()) * to_seconds(measured_time);
    return {
        {"hosts", fleet->nodes.size()},
        {"hosts_each_data_centre", hosts_per_data_centre},
        {"messages_a_node_second",
         static_cast<double>(messages) / node_seconds},
        {"bytes_a_node_second", static_cast<double>(bytes) / node_seconds},
        {"bytes_a_second_of_the_busiest",
         static_cast<double>(max_bytes) / to_seconds(measured_time)},
        {"core_part_a_node_harness_included", host_time / node_seconds}};
}

int run(std::uint32_t largest)
{
    json::object result;
    result["one_node"] = measure_demand(
        114.0,
        [](std::uint64_t, time_point)
        {
            return std::size_t{5};
        });
    result["one_data_centre"] = measure_demand(
        114.0,
        [](std::uint64_t number, time_point)
        {
            return number % 4;
        });
    result["alternating"] = measure_demand(
        114.0,
        [](std::uint64_t, time_point now)
        {
            return static_cast<std::size_t>(
                to_seconds(now.time_since_epoch()) / 2.0);
        });
    result["ten_times_the_rate"] = measure_demand(
        1200.0,
        [](std::uint64_t number, time_point)
        {
            return number;
        });
    json::array sizes;
    for (const std::uint32_t hosts : {4U, 12U, 36U, 108U, 320U, 1037U})
    {
        if (hosts <= largest)
        {
            sizes.push_back(measure_size(hosts));
        }
    }
    result["sizes"] = std::move(sizes);
    std::cout << json::serialize(result) << '\n';
    return EXIT_SUCCESS;
}

} // namespace
} // namespace cyclamenhold

// The argument is the maximum number of hosts in each of three data centres;
// larger sizes are skipped.
int main(int argument_count, char** arguments)
{
    const int largest = argument_count > 1 ? std::atoi(arguments[1]) : 36;
    return cyclamenhold::run(static_cast<std::uint32_t>(largest));
}
