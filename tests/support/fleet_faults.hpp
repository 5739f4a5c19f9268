// Faults for the virtual fleet, as values that a property test can generate,
// print and shrink, and the weights that tests check after each event.
#pragma once

#include "core/rates/rates_context.hpp"
#include "support/virtual_fleet.hpp"

#include <cmath>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace cyclamenhold::testing_support
{

enum class fault_kind : std::uint8_t
{
    none,
    crash,
    restart,
    pause,
    cut_data_centre,
    cut_from_platform,
    // Messages from the node are lost; messages to it arrive.
    cut_one_way,
    cut_node,
    platform_down,
    platform_loses_answers,
    heal,
    demand_at_node,
    demand_everywhere
};

template <class Enum>
constexpr int fault_kind_count = static_cast<int>(Enum::demand_everywhere) + 1;

struct fleet_fault
{
    fault_kind kind = fault_kind::none;
    std::uint32_t node = 0;
    std::uint32_t milliseconds = 0;
};

inline std::ostream& operator<<(std::ostream& out, const fleet_fault& fault)
{
    return out << "{" << static_cast<int>(fault.kind) << ", " << fault.node
               << ", " << fault.milliseconds << "}";
}

// Network and platform connections that are currently cut.
struct fleet_cuts
{
    std::set<data_centre_id> data_centres;
    std::set<host_id> from_platform;
    std::set<host_id> one_way;
    std::set<host_id> nodes;
};

inline virtual_node& node_at(virtual_fleet& fleet, std::size_t number)
{
    auto entry = fleet.nodes.begin();
    std::advance(entry, number % fleet.nodes.size());
    return *entry->second;
}

// Makes the fleet's links and platform connections follow `cuts`, which must
// outlive the fleet's run.
inline void install_cuts(virtual_fleet& fleet, const fleet_cuts& cuts)
{
    fleet.network.is_link_up =
        [&cuts](const virtual_node& from, const virtual_node& to)
    {
        if (cuts.nodes.contains(from.host) || cuts.nodes.contains(to.host) ||
            cuts.one_way.contains(from.host))
        {
            return false;
        }
        return from.data_centre == to.data_centre ||
               (!cuts.data_centres.contains(from.data_centre) &&
                !cuts.data_centres.contains(to.data_centre));
    };
    fleet.platform_reachable = [&cuts](const virtual_node& node)
    {
        return !cuts.from_platform.contains(node.host) &&
               !cuts.nodes.contains(node.host);
    };
}

inline void
apply_fault(virtual_fleet& fleet, fleet_cuts& cuts, const fleet_fault& fault)
{
    virtual_node& node = node_at(fleet, fault.node);
    switch (fault.kind)
    {
    case fault_kind::crash:
        if (node.up)
        {
            fleet.crash(node);
        }
        return;
    case fault_kind::restart:
        if (node.up)
        {
            fleet.crash(node);
        }
        fleet.start(node);
        return;
    case fault_kind::pause:
        fleet.pause(node, std::chrono::milliseconds(fault.milliseconds * 5));
        node.unreachable_since = fleet.now();
        return;
    case fault_kind::cut_data_centre:
        cuts.data_centres.insert(node.data_centre);
        return;
    case fault_kind::cut_from_platform:
        cuts.from_platform.insert(node.host);
        return;
    case fault_kind::cut_one_way:
        cuts.one_way.insert(node.host);
        node.unreachable_since = fleet.now();
        return;
    case fault_kind::cut_node:
        cuts.nodes.insert(node.host);
        node.unreachable_since = fleet.now();
        return;
    case fault_kind::platform_down:
        fleet.platform.faults.down = true;
        return;
    case fault_kind::platform_loses_answers:
        fleet.platform.faults.lose_next_answers += 2;
        return;
    case fault_kind::heal:
        cuts = {};
        fleet.platform.faults = {};
        for (const auto& [host, other] : fleet.nodes)
        {
            other->unreachable_since = time_point::max();
        }
        return;
    case fault_kind::none:
    case fault_kind::demand_at_node:
    case fault_kind::demand_everywhere:
        return;
    }
}

// Ends all faults and pauses, and starts the nodes that are down.
inline void end_faults(virtual_fleet& fleet, fleet_cuts& cuts)
{
    apply_fault(fleet, cuts, {fault_kind::heal, 0, 0});
    fleet.network.set_faults({});
    for (const auto& [host, node] : fleet.nodes)
    {
        node->paused_until = fleet.now();
        if (!node->up)
        {
            fleet.start(*node);
        }
    }
}

// The weight of a workspace's data-centre share that a node uses now: the rate
// of its own bucket in the limiter, plus the weight leases that it holds.
inline double weight_in_use(
    const virtual_fleet& fleet, virtual_node& node, workspace_id workspace)
{
    const time_point now = fleet.local_now(node);
    const rates_state& rates = node.control->rates;
    const auto settings = rates.workspaces.find(workspace);
    if (settings == rates.workspaces.end())
    {
        return 0.0;
    }
    double weight =
        held_weight(rates.weight_leases.held[shard_of(workspace)], now);
    const std::scoped_lock lock(node.path->limiter.mutex);
    const token_bucket& bucket = node.path->limiter.buckets[workspace];
    if (now < bucket.valid_until)
    {
        weight += bucket.rate / (settings->second.rate * rates.share);
    }
    return weight;
}

// The sum of weights in use in a data centre, at its largest over the data
// centres.
inline double
largest_weight_sum(const virtual_fleet& fleet, workspace_id workspace)
{
    std::map<data_centre_id, double> sums;
    for (const auto& [host, node] : fleet.nodes)
    {
        if (node->up)
        {
            sums[node->data_centre] += weight_in_use(fleet, *node, workspace);
        }
    }
    double largest = 0.0;
    for (const auto& [data_centre, sum] : sums)
    {
        largest = std::max(largest, sum);
    }
    return largest;
}

} // namespace cyclamenhold::testing_support
