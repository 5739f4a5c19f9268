// What this node may admit of each workspace's rate: roster, weight_leases,
// stewards and loans. Runs on the control thread only; hands tokens to the
// request path through a rate_limiter.
#pragma once

#include "core/base/random.hpp"
#include "core/configuration/model.hpp"
#include "core/membership/membership.hpp"
#include "core/rates/demand_shares.hpp"
#include "core/rates/loans.hpp"
#include "core/rates/rate_limiter.hpp"
#include "core/rates/roster_maintenance.hpp"
#include "core/rates/weight_leases.hpp"
#include "ports/control_actions.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace cyclamenhold
{

// How the hosts divide a rate.
enum class rate_sharing : std::uint8_t
{
    // Exactly in every fault: each weight is used in one place. Takes terms to
    // start and a roster in the platform.
    by_pledge,
    // By what callers ask of each host; a rate may be exceeded for moments.
    by_demand
};

template <>
struct enum_names<rate_sharing>
{
    static constexpr std::array<std::pair<rate_sharing, std::string_view>, 2>
        table{
            {{rate_sharing::by_pledge, "by-pledge"},
             {rate_sharing::by_demand, "by-demand"}}};
};

struct rates_settings
{
    rate_sharing sharing = rate_sharing::by_pledge;
    // With sharing by demand: a workspace may have rate x window + burst in
    // each span of this length, so that the burst is granted anew in each.
    // Zero where the burst only comes back from what is left of the rate.
    duration window{};
    // With sharing by demand: what hosts that divide a rate may admit beyond it
    // in a window, as a part of rate and burst and as a number of requests.
    double overage = 0.0;
    double slack = 0.0;
    host_id self = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
    // How long a pledge lasts.
    duration term = 5s;
    // How long a loan to a host lasts, and one to another data centre.
    duration loan_term = 1s;
    duration data_centre_loan_term = 2s;
    // A host silent for so long may be removed from the roster; one without
    // contact for half of it stops using its weight.
    duration removal_time = 60s;
};

// What the other subsystems know; read at each call.
struct rates_inputs
{
    const configuration& current;
    const membership_state& members;
    rate_limiter& limiter;
};

struct rates_state
{
    rates_settings settings;
    roster_state hosts;
    weight_lease_state weight_leases;
    loan_state loans;
    demand_share_state demand;
    // The revision whose workspaces the limiter and the shares are set to.
    std::uint64_t revision = 0;
    double share = 0.0;
    time_point last_tick_at{};
    bool leaving = false;
    // The own weight has shrunk; the limiter must know before the event ends.
    bool weights_changed = false;
    std::map<workspace_id, workspace> workspaces;
    // Encoded messages to this host itself, handled before a call returns.
    std::deque<std::vector<std::uint8_t>> local_messages;
};

void rates_start(
    rates_state& state, const rates_settings& settings, time_point now,
    random_source& random, control_actions& actions);
void rates_tick(
    rates_state& state, const rates_inputs& inputs, time_point now,
    random_source& random, control_actions& actions);
void rates_on_message(
    rates_state& state, const rates_inputs& inputs,
    const incoming_message& message, time_point now, random_source& random,
    control_actions& actions);
void rates_on_platform_reply(
    rates_state& state, const rates_inputs& inputs, const platform_reply& reply,
    time_point now, random_source& random, control_actions& actions);

// When rates_tick is due next. After the limiter's `on_waiting` it is due at
// once.
[[nodiscard]] time_point rates_due(const rates_state& state);

// Hands back loans and stewardship before a planned stop.
void rates_leave(
    rates_state& state, const rates_inputs& inputs, time_point now,
    random_source& random, control_actions& actions);

// For claims: the office of a shard, with epoch 0 unless this host holds the
// weight_leases of more than half of the roster at this moment.
[[nodiscard]] steward_lease rates_steward_lease(
    const rates_state& state, std::uint32_t shard, time_point now);

} // namespace cyclamenhold
