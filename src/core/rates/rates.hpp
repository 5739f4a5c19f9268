// What this node may admit of each workspace's rate: roster, pledges, stewards
// and loans. Runs on the control thread only; hands tokens to the request path
// through a rate_limiter.
#pragma once

#include "core/base/random.hpp"
#include "core/configuration/model.hpp"
#include "core/membership/membership.hpp"
#include "core/rates/rate_limiter.hpp"
#include "ports/control_actions.hpp"

#include <cstdint>

namespace cyclamenhold
{

struct rates_settings
{
    host_id self = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
    // How long a pledge or a loan lasts.
    duration term = 5s;
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
[[nodiscard]] time_point rates_due(const rates_state& state);

// Hands back loans and stewardship before a planned stop.
void rates_leave(
    rates_state& state, const rates_inputs& inputs, time_point now,
    random_source& random, control_actions& actions);

} // namespace cyclamenhold
