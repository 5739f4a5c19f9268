// What one node can say about the fleet: which revision is in force where, how
// fresh that knowledge is, and who is behind.
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
    // Heard from lately, by this node or by others it hears from.
    bool reachable = true;
    duration last_contact_ago{};
    std::uint32_t alive = 0;
    std::uint32_t suspect = 0;
    std::uint32_t dead = 0;
    // Members that reported the revision in force here, or a newer one.
    std::uint32_t confirmed = 0;
    // Members not heard from since it came into force here.
    std::uint32_t unconfirmed = 0;
    // Members that reported an older one afterwards, at most
    // `max_hosts_behind`.
    std::vector<host_id> behind;
};

constexpr std::size_t max_hosts_behind = 20;

struct fleet_status
{
    std::uint64_t revision = 0;
    duration applied_ago{};
    // The highest revision heard of.
    std::uint64_t highest_revision = 0;
    // Since any node, as far as heard, read the newest revision from the
    // platform; nothing when that was never heard of. While it grows, changes
    // made elsewhere, withdrawn keys among them, may be missing here.
    std::optional<duration> platform_read_ago;
    // This node reads the platform for its data centre.
    bool is_platform_watcher = false;
    // This node's own data centre, with the node itself, comes first.
    std::vector<data_centre_status> data_centres;
};

[[nodiscard]] fleet_status make_fleet_status(
    const chain_state& chain, const membership_state& members, time_point now);

} // namespace cyclamenhold
