// Benchmarks the cost of membership and configuration for a node, and their
// propagation times, under a virtual clock. Prints one line of JSON for each
// number of members on the command line. "8300/2" runs only the members of two
// data centres; the others are in their member tables and send nothing.
#include "core/membership/member_table.hpp"
#include "support/fake_fleet.hpp"

#include <cstdlib>
#include <iostream>

#include <boost/json.hpp>
#include <malloc.h>

namespace cyclamenhold
{
namespace
{

constexpr duration warm_up_time = 20s;
constexpr duration steady_time = 60s;
constexpr std::size_t service_count = 710;

std::size_t data_centre_count_of(std::size_t members)
{
    return members >= 500 ? 8 : 3;
}

upstream_record make_upstream_record(std::size_t index)
{
    return {
        "service-" + std::to_string(index % service_count),
        upstream_state::serving, 150, 1000, 1};
}

// Adds every node to the member table of every running node, which gives the
// state after all joins have completed.
void fill_member_tables(fake_fleet& fleet)
{
    for (auto& viewer : fleet.nodes)
    {
        if (!viewer.running)
        {
            continue;
        }
        control_actions ignored;
        for (std::size_t index = 0; index < fleet.nodes.size(); ++index)
        {
            const fleet_node& other = fleet.nodes[index];
            if (other.host == viewer.host)
            {
                continue;
            }
            const member_status_report report{
                other.host,
                other.running ? other.membership->self_incarnation : 1, 0,
                other.settings.data_centre, member_state::alive};
            merge_record(
                *viewer.membership, report, make_upstream_record(index),
                fleet.now, ignored);
        }
        viewer.membership->updates.clear();
    }
}

struct traffic
{
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
};

traffic count_traffic(const fake_fleet& fleet)
{
    traffic sum;
    for (const auto& node : fleet.nodes)
    {
        sum.bytes += node.bytes_sent;
        sum.messages += node.messages_sent;
    }
    return sum;
}

std::size_t count_events(const fake_fleet& fleet, event_kind kind)
{
    std::size_t count = 0;
    for (const auto& node : fleet.nodes)
    {
        for (const auto& event : node.events)
        {
            count += event.kind == kind ? 1 : 0;
        }
    }
    return count;
}

// Returns the seconds until all running nodes except `subject` fulfil the
// condition, or -1 when they do not within `limit`.
double time_until_all(
    fake_fleet& fleet, std::size_t subject, duration limit,
    const std::function<bool(const fleet_node&)>& condition)
{
    const time_point start = fleet.now;
    const auto fulfilled = [&]
    {
        for (std::size_t index = 0; index < fleet.nodes.size(); ++index)
        {
            const fleet_node& node = fleet.nodes[index];
            if (index != subject && node.running && !condition(node))
            {
                return false;
            }
        }
        return true;
    };
    const bool reached = run_until_true(fleet, limit, fulfilled);
    return reached ? to_seconds(fleet.now - start) : -1.0;
}

double measure_drain(fake_fleet& fleet, std::size_t subject)
{
    auto record = make_upstream_record(subject);
    record.state = upstream_state::draining;
    set_node_upstream(fleet, subject, record);
    const host_id host = fleet.nodes[subject].host;
    return time_until_all(
        fleet, subject, 20s,
        [host](const fleet_node& node)
        {
            return node.membership->members.at(host).upstream.state ==
                   upstream_state::draining;
        });
}

double measure_change(fake_fleet& fleet, std::size_t committer)
{
    run_on_node(
        fleet, committer,
        [](fleet_node& node, time_point now, random_source& random,
           control_actions& actions)
        {
            chain_commit(
                *node.chain, 1, node.chain->current->revision, "bench",
                R"({"operations":[{"op":"put-workspace","name":"a",
                    "rate":1,"burst":1}]})",
                now, random, actions);
        });
    return time_until_all(
        fleet, fleet.nodes.size(), 30s,
        [](const fleet_node& node)
        {
            return node.chain->current->revision >= 1;
        });
}

double measure_detection(fake_fleet& fleet, std::size_t subject)
{
    const host_id host = fleet.nodes[subject].host;
    crash_node(fleet, subject);
    return time_until_all(
        fleet, subject, 30s,
        [host](const fleet_node& node)
        {
            return node.membership->members.at(host).state ==
                   member_state::dead;
        });
}

// Returns the largest number of platform calls in one second during the 30 s
// after an outage of ten minutes.
double measure_calls_after_outage(fake_fleet& fleet)
{
    fleet.platform.faults.down = true;
    run_for(fleet, 10min);
    fleet.platform.faults.down = false;
    std::uint64_t most = 0;
    for (int second = 0; second < 30; ++second)
    {
        const std::uint64_t before = store_call_count(fleet.platform);
        run_for(fleet, 1s);
        most = std::max(most, store_call_count(fleet.platform) - before);
    }
    return static_cast<double>(most);
}

std::uint64_t count_writes(const fake_fleet& fleet)
{
    std::uint64_t writes = 0;
    for (const auto& [operation, name] : enum_names<platform_operation>::table)
    {
        writes += is_store_write(operation)
                      ? store_call_count(fleet.platform, operation)
                      : 0;
    }
    return writes;
}

std::size_t heap_in_use()
{
    return mallinfo2().uordblks;
}

struct bench_size
{
    std::size_t members = 0;
    // Only the members of this many data centres run; zero for all.
    std::size_t running_data_centres = 0;
};

void start_fleet(fake_fleet& fleet, const bench_size& size)
{
    const std::size_t data_centres = data_centre_count_of(size.members);
    for (std::size_t index = 0; index < size.members; ++index)
    {
        const std::size_t data_centre = index % data_centres;
        add_node(fleet, "dc-" + std::to_string(data_centre));
        if (size.running_data_centres != 0 &&
            data_centre >= size.running_data_centres)
        {
            continue;
        }
        start_node(fleet, index);
        fleet.nodes[index].membership->local_upstream =
            make_upstream_record(index);
    }
}

boost::json::object run_size(const bench_size& size)
{
    const std::size_t members = size.members;
    fake_fleet fleet(members);
    fleet.faults.loss = 0.01;
    start_fleet(fleet, size);
    const auto running = static_cast<double>(
        std::ranges::count(fleet.nodes, true, &fleet_node::running));
    const std::size_t heap_before = heap_in_use();
    fill_member_tables(fleet);
    const double heap_growth =
        static_cast<double>(heap_in_use()) - static_cast<double>(heap_before);
    run_for(fleet, warm_up_time);

    const traffic before = count_traffic(fleet);
    const std::uint64_t calls_before = store_call_count(fleet.platform);
    const std::uint64_t writes_before = count_writes(fleet);
    run_for(fleet, steady_time);
    const auto writes =
        static_cast<double>(count_writes(fleet) - writes_before);
    const traffic after = count_traffic(fleet);
    const auto calls =
        static_cast<double>(store_call_count(fleet.platform) - calls_before);
    const double node_seconds = running * to_seconds(steady_time);

    boost::json::object result;
    result["members"] = members;
    result["running"] = running;
    result["data_centres"] = data_centre_count_of(members);
    result["loss"] = fleet.faults.loss;
    result["state_bytes_a_member"] =
        heap_growth / running / static_cast<double>(members - 1);
    result["bytes_a_node_a_second"] =
        static_cast<double>(after.bytes - before.bytes) / node_seconds;
    result["messages_a_node_a_second"] =
        static_cast<double>(after.messages - before.messages) / node_seconds;
    result["platform_calls_a_second"] = calls / to_seconds(steady_time);
    result["platform_writes_a_second"] = writes / to_seconds(steady_time);
    // Every running node records an event for each suspicion, so the count of
    // events is divided by the number of nodes.
    const double node_hours =
        running * to_seconds(warm_up_time + steady_time) / 3600.0;
    result["suspicions_a_node_hour"] =
        static_cast<double>(count_events(fleet, event_kind::member_suspected)) /
        running / node_hours;
    result["false_removals"] = count_events(fleet, event_kind::member_removed);
    result["drain_known_by_all_seconds"] = measure_drain(fleet, 1);
    result["change_in_force_by_all_seconds"] = measure_change(fleet, 8);
    result["dead_host_known_by_all_seconds"] = measure_detection(fleet, 9);
    result["largest_datagram"] = fleet.largest_datagram;
    // Skipped for large fleets, since it simulates more than ten minutes.
    if (members <= 200)
    {
        result["most_platform_calls_in_a_second_after_outage"] =
            measure_calls_after_outage(fleet);
    }
    return result;
}

} // namespace
} // namespace cyclamenhold

int main(int argc, char** argv)
{
    std::vector<std::string> sizes(argv + 1, argv + argc);
    if (sizes.empty())
    {
        sizes = {"12", "48", "192", "768"};
    }
    for (const std::string& text : sizes)
    {
        cyclamenhold::bench_size size;
        size.members = std::strtoull(text.c_str(), nullptr, 10);
        if (const auto slash = text.find('/'); slash != std::string::npos)
        {
            size.running_data_centres =
                std::strtoull(text.c_str() + slash + 1, nullptr, 10);
        }
        std::cout << boost::json::serialize(cyclamenhold::run_size(size))
                  << '\n'
                  << std::flush;
    }
    return 0;
}
