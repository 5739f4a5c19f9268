#include "core/membership/membership.hpp"

namespace cyclamenhold
{

void membership_start(
    membership_state& state, const membership_settings& settings,
    incarnation self, time_point /*now*/, random_source& /*random*/,
    control_actions& /*actions*/)
{
    state.settings = settings;
    state.self_incarnation = self;
}

void membership_tick(
    membership_state& /*state*/, time_point /*now*/, random_source& /*random*/,
    control_actions& /*actions*/)
{
}

void membership_on_message(
    membership_state& /*state*/, const incoming_message& /*message*/,
    time_point /*now*/, random_source& /*random*/, control_actions& /*actions*/)
{
}

void membership_on_platform_reply(
    membership_state& /*state*/, const platform_reply& /*reply*/,
    time_point /*now*/, random_source& /*random*/, control_actions& /*actions*/)
{
}

time_point membership_due(const membership_state& /*state*/)
{
    return time_point::max();
}

void membership_set_upstream(
    membership_state& state, const upstream_record& record, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
    const std::uint64_t version = state.local_upstream.version + 1;
    state.local_upstream = record;
    state.local_upstream.version = version;
    ++state.version;
}

void membership_leave(
    membership_state& state, time_point /*now*/, random_source& /*random*/,
    control_actions& /*actions*/)
{
    state.leaving = true;
    ++state.version;
}

std::vector<upstream_location>
membership_upstreams(const membership_state& state)
{
    std::vector<upstream_location> locations;
    if (state.local_upstream.state != upstream_state::absent)
    {
        locations.push_back(
            {state.settings.self, state.self_incarnation,
             state.settings.data_centre, state.local_upstream});
    }
    for (const auto& [host, member] : state.members)
    {
        if (member.state == member_state::alive)
        {
            locations.push_back(
                {host, member.host_incarnation, member.data_centre,
                 member.upstream});
        }
    }
    return locations;
}

} // namespace cyclamenhold
