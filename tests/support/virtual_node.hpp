// What the virtual fleet is made of: options, nodes and the reference that
// admissions are compared with.
#pragma once

#include "core/node/control.hpp"
#include "core/request/call.hpp"
#include "standin/key_value_store.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cyclamenhold::testing_support
{

// What the network does to messages from one host to another.
struct link_faults
{
    double loss = 0.0;
    // Datagrams only.
    double duplication = 0.0;
    duration shortest_delay = 500us;
    duration longest_delay = 1500us;
};

struct fleet_options
{
    std::uint64_t seed = 1;
    std::uint32_t data_centres = 3;
    std::uint32_t hosts_each = 4;
    double largest_drift = 200e-6;
    // Members are known from the start, without membership messages; a host
    // that is down is seen as dead after `detection`.
    bool given_members = true;
    duration detection = 3s;
    rates_settings rates;
    claims_settings claims;
    link_faults links;
};

struct virtual_node
{
    host_id host = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
    std::string data_centre_name;
    // Local clock: `offset` + true time x (1 + drift).
    double drift = 0.0;
    duration offset{};
    std::uint64_t wall_offset_ms = 0;
    bool up = false;
    std::uint64_t life = 0;
    time_point down_since{};
    time_point paused_until{};
    // Not reached before the pause ends, in order.
    random_source random;
    std::unique_ptr<request_path> path;
    std::unique_ptr<control_state> control;
    bool wants_tick = false;
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    // Requests under way that wait for a token.
    std::map<token_waiter, workspace_id> waiting;
};

// The reference for a workspace: a level that sinks with the rate and rises
// by one with each admission never exceeds the burst.
struct rate_oracle
{
    double rate = 0.0;
    double burst = 0.0;
    double level = 0.0;
    double highest_excess = 0.0;
    time_point at{};
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
};

// A configuration with one workspace a pair of rate and burst, and all data
// centres of the options with equal weights.
[[nodiscard]] inline configuration
rates_configuration(const fleet_options& options, double rate, double burst)
{
    configuration current;
    current.revision = 1;
    current.workspaces.push_back({"school", rate, burst});
    for (std::uint32_t centre = 0; centre < options.data_centres; ++centre)
    {
        current.data_centres.push_back(
            {"dc" + std::to_string(centre), "region", 1.0});
    }
    return current;
}

} // namespace cyclamenhold::testing_support
