// Computes how much of each workspace's rate this node may admit, either by
// weight leases and loans or by shares of demand (rate_sharing). Runs on the
// control thread only; passes tokens to the request path through a
// rate_limiter.
#pragma once

#include "core/base/random.hpp"
#include "core/configuration/model.hpp"
#include "core/membership/membership.hpp"
#include "core/rates/demand_shares.hpp"
#include "core/rates/loans.hpp"
#include "core/rates/rate_limiter.hpp"
#include "core/rates/roster_maintenance.hpp"
#include "core/rates/token_pools.hpp"
#include "core/rates/weight_leases.hpp"
#include "ports/control_actions.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace cyclamenhold
{

// How the hosts of a fleet divide a rate.
enum class rate_sharing : std::uint8_t
{
    // By weight leases: each weight is used in one place, so that no fault lets
    // the hosts exceed a rate. Starting takes one or more lease terms and needs
    // a roster in the platform.
    by_pledge,
    // By the callers' demand at each host; a rate may be exceeded briefly.
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
    // With sharing by demand: a workspace may admit rate x window + burst in
    // each span of this length, so that each span has a full burst. Zero when
    // the burst refills only from the unused rate.
    duration window{};
    // With sharing by demand: what the hosts together may admit beyond that in
    // a window, as a fraction of rate x window + burst (`overage`) and as a
    // number of requests (`slack`).
    double overage = 0.0;
    double slack = 0.0;
    host_id self = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
    // Term of a weight lease.
    duration term = 5s;
    // Terms of a loan to a host and of a loan to another data centre.
    duration loan_term = 1s;
    duration data_centre_loan_term = 2s;
    // A host without contact for this time may be removed from the roster; it
    // stops using its own weight after half of this time.
    duration removal_time = 60s;
};

// State of other subsystems, read at each call.
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
    token_pool_state pools;
    // The configuration revision that is applied to the limiter and to `share`.
    std::uint64_t revision = 0;
    // This data centre's part of all rates and bursts.
    double share = 0.0;
    time_point last_tick_at{};
    bool leaving = false;
    // This host's own weight has changed; its allowances must be set before the
    // event ends.
    bool weights_changed = false;
    std::map<workspace_id, workspace> workspaces;
    // Encoded messages from this host to itself, handled before a call returns.
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

// When rates_tick is due next. It is due at once after the limiter calls
// `on_waiting`.
[[nodiscard]] time_point rates_due(const rates_state& state);

// Returns loans and releases weight leases before a planned stop.
void rates_leave(
    rates_state& state, const rates_inputs& inputs, time_point now,
    random_source& random, control_actions& actions);

// The steward lease of a shard, for claims; epoch 0 unless this host now holds
// the weight leases of more than half of the roster.
[[nodiscard]] steward_lease rates_steward_lease(
    const rates_state& state, std::uint32_t shard, time_point now);

} // namespace cyclamenhold
