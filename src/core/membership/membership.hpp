// Who is in the fleet: probes, suspicion, incarnations and dissemination.
// Runs on the control thread only.
#pragma once

#include "core/base/random.hpp"
#include "core/base/time.hpp"
#include "core/routing/upstream.hpp"
#include "ports/control_actions.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenhold
{

enum class member_state : std::uint8_t
{
    alive,
    suspect,
    dead,
    left
};

template <>
struct enum_names<member_state>
{
    static constexpr std::array<std::pair<member_state, std::string_view>, 4>
        table{
            {{member_state::alive, "alive"},
             {member_state::suspect, "suspect"},
             {member_state::dead, "dead"},
             {member_state::left, "left"}}};
};

struct member
{
    host_id host = host_id::none;
    incarnation host_incarnation = 0;
    data_centre_id data_centre = data_centre_id::none;
    member_state state = member_state::alive;
    // When anything was last heard from the host itself, on the local clock.
    time_point heard_at{};
    upstream_record upstream;
};

struct membership_settings
{
    host_id self = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
    std::string data_centre_name;
    // Addresses to join by, beside those found in the platform.
    std::vector<host_id> seeds;
    duration probe_interval = 500ms;
    duration probe_timeout = 200ms;
    duration suspicion_time = 3s;
    std::uint32_t indirect_probes = 3;
};

struct membership_state
{
    membership_settings settings;
    incarnation self_incarnation = 0;
    upstream_record local_upstream;
    // Without the host itself.
    std::map<host_id, member> members;
    // Grows whenever a member or its upstream changes.
    std::uint64_t version = 0;
    bool leaving = false;
};

void membership_start(
    membership_state& state, const membership_settings& settings,
    incarnation self, time_point now, random_source& random,
    control_actions& actions);
void membership_tick(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);
void membership_on_message(
    membership_state& state, const incoming_message& message, time_point now,
    random_source& random, control_actions& actions);
void membership_on_platform_reply(
    membership_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions);

// When membership_tick is due next.
[[nodiscard]] time_point membership_due(const membership_state& state);

// Takes a change of the local upstream and spreads it at once.
void membership_set_upstream(
    membership_state& state, const upstream_record& record, time_point now,
    random_source& random, control_actions& actions);

// Tells the fleet that this host is leaving; it answers probes on.
void membership_leave(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions);

// All upstreams that may be tried, the local one included.
[[nodiscard]] std::vector<upstream_location>
membership_upstreams(const membership_state& state);

} // namespace cyclamenhold
