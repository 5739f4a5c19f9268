// Options and nodes of the virtual fleet, and the reference bucket that
// admissions are checked against.
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

// Faults and delays of messages between hosts.
struct link_faults
{
    double loss = 0.0;
    // Datagrams only.
    double duplication = 0.0;
    duration shortest_delay = 500us;
    duration longest_delay = 1500us;
    // Probability that a message, and on a stream all messages after it, is
    // delayed by up to `longest_extra_delay` more.
    double extra_delay_probability = 0.0;
    duration longest_extra_delay = 3s;
};

struct fleet_options
{
    std::uint64_t seed = 1;
    std::uint32_t data_centres = 3;
    std::uint32_t hosts_per_data_centre = 4;
    double largest_drift = 200e-6;
    // Members are set directly, without membership messages; a host that is
    // down is marked dead after `detection_time`.
    bool fixed_members = true;
    duration detection_time = 3s;
    rates_settings rates;
    claims_settings claims;
    // Documents of the store instead of `virtual_fleet::settings` if it has a
    // key.
    document_settings document;
    link_faults links;
    // Whether the settings of a node name all other nodes.
    bool has_seed_addresses = true;
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
    std::uint64_t incarnation = 0;
    time_point down_since{};
    time_point paused_until{};
    // Start of a pause or network cut. The other nodes consider it dead after
    // `detection_time`.
    time_point unreachable_since = time_point::max();
    random_source random;
    std::unique_ptr<request_path> path;
    std::unique_ptr<control_state> control;
    bool tick_requested = false;
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    // Requests that wait for a token.
    std::map<token_waiter, workspace_id> waiting;
};

// Reference for a workspace, a leaky bucket: the level drains at `rate` per
// second and rises by one with each admission. A correct fleet never exceeds
// `burst`.
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

inline void record_admission(rate_oracle& oracle, time_point now)
{
    ++oracle.admitted;
    oracle.level =
        std::max(0.0, oracle.level - oracle.rate * to_seconds(now - oracle.at));
    oracle.at = now;
    oracle.level += 1.0;
    oracle.highest_excess =
        std::max(oracle.highest_excess, oracle.level - oracle.burst);
}

using virtual_nodes = std::map<host_id, std::unique_ptr<virtual_node>>;

[[nodiscard]] inline virtual_nodes
make_nodes(const fleet_options& options, random_source& random)
{
    virtual_nodes nodes;
    for (std::uint32_t centre = 0; centre < options.data_centres; ++centre)
    {
        const std::string name = "dc" + std::to_string(centre);
        for (std::uint32_t host = 0; host < options.hosts_per_data_centre;
             ++host)
        {
            auto node = std::make_unique<virtual_node>();
            node->host =
                make_host_id(0x0a000000 | (centre << 16) | (host + 1), 7400);
            node->data_centre = data_centre_id_of(name);
            node->data_centre_name = name;
            node->drift =
                options.largest_drift * (2.0 * random_fraction(random) - 1.0);
            node->offset =
                std::chrono::milliseconds(random_below(random, 1'000'000));
            node->wall_offset_ms = random_below(random, 2000);
            nodes.emplace(node->host, std::move(node));
        }
    }
    return nodes;
}

// The time on the node's clock when its control functions are next due.
[[nodiscard]] inline time_point
due_of(const control_state& control, bool fixed_members)
{
    return fixed_members
               ? std::min(rates_due(control.rates), claims_due(control.claims))
               : control_due(control);
}

// Sets the members of a node directly. A host that has been down or unreachable
// for more than `detection_time` is dead.
inline void update_fixed_members(
    const virtual_nodes& nodes, virtual_node& node, duration detection_time,
    time_point now)
{
    auto& view = node.control->membership;
    bool changed = false;
    for (const auto& [host, other] : nodes)
    {
        if (host == node.host || other->incarnation == 0)
        {
            continue;
        }
        member& entry = view.members[host];
        const time_point unavailable_since =
            other->up ? other->unreachable_since : other->down_since;
        const bool dead =
            unavailable_since < now && now - unavailable_since > detection_time;
        const member_state state =
            dead ? member_state::dead : member_state::alive;
        const auto incarnation =
            other->control ? other->control->membership.self_incarnation
                           : entry.host_incarnation;
        changed = changed || entry.host != host || entry.state != state ||
                  entry.host_incarnation != incarnation;
        entry.host = host;
        entry.state = state;
        entry.data_centre = other->data_centre;
        entry.host_incarnation = incarnation;
    }
    view.version += changed ? 1 : 0;
}

// A configuration with one workspace of the given rate (per second) and burst,
// and all data centres of the options with equal weights.
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

inline constexpr std::string_view museum_key = "cyk_m1_museum-secret";
// An existing key id with a wrong secret.
inline constexpr std::string_view invalid_key = "cyk_m1_guessed-secret";

// Adds the workspace, key and route that virtual_calls uses.
[[nodiscard]] inline configuration with_bookings(configuration current)
{
    current.workspaces.push_back({"museum", 5000.0, 1000.0});
    workspace_key key;
    key.id = "m1";
    key.workspace = "museum";
    key.digest = digest_of_secret("fleet", "museum-secret");
    current.keys.push_back(key);
    route bookings;
    bookings.name = "book";
    bookings.path_prefix = "/book";
    bookings.service = "bookings";
    bookings.never_repeat = true;
    current.routes.push_back(bookings);
    return current;
}

} // namespace cyclamenhold::testing_support
