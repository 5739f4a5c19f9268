// The configuration status of the fleet as seen by one node: the revision in
// each data centre, the age of that information, and the hosts that are behind.
#pragma once

#include "core/configuration/chain.hpp"
#include "core/membership/membership.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace cyclamenhold
{

struct data_centre_status
{
    data_centre_id data_centre = data_centre_id::none;
    // This node, or a peer that it has contact with, has recently received a
    // message from it.
    bool reachable = true;
    duration last_contact_ago{};
    std::uint32_t alive = 0;
    std::uint32_t suspect = 0;
    std::uint32_t dead = 0;
    // Members that reported this node's current revision or a newer one.
    std::uint32_t confirmed = 0;
    // Members without a report since this node applied its revision.
    std::uint32_t unconfirmed = 0;
    // Members that have since reported an older revision, at most
    // `max_hosts_behind`.
    std::vector<host_id> behind;
};

constexpr std::size_t max_hosts_behind = 20;

struct fleet_status
{
    std::uint64_t revision = 0;
    duration applied_ago{};
    // The highest revision that any member has reported.
    std::uint64_t highest_revision = 0;
    // Time since any node is reported to have read the newest revision from
    // the platform; nothing if no read was reported. While it grows, this node
    // may lack changes made elsewhere, including withdrawn keys.
    std::optional<duration> platform_read_ago;
    // This node reads the platform on behalf of its data centre.
    bool is_platform_watcher = false;
    // This node's own data centre, which counts the node itself, is first.
    std::vector<data_centre_status> data_centres;
};

[[nodiscard]] fleet_status make_fleet_status(
    const chain_state& chain, const membership_state& members, time_point now);

} // namespace cyclamenhold
