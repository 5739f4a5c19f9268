#include "core/rates/rates.hpp"

namespace cyclamenhold
{

void rates_start(
    rates_state& state, const rates_settings& settings, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
    state.settings = settings;
}

void rates_tick(
    rates_state& /*state*/, const rates_inputs& /*inputs*/, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
}

void rates_on_message(
    rates_state& /*state*/, const rates_inputs& /*inputs*/,
    const incoming_message& /*message*/, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
}

void rates_on_platform_reply(
    rates_state& /*state*/, const rates_inputs& /*inputs*/,
    const platform_reply& /*reply*/, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
}

time_point rates_due(const rates_state& /*state*/)
{
    return time_point::max();
}

void rates_leave(
    rates_state& /*state*/, const rates_inputs& /*inputs*/, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
}

} // namespace cyclamenhold
