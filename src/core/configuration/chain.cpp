#include "core/configuration/chain.hpp"

namespace cyclamenhold
{

void chain_start(
    chain_state& state, const chain_settings& settings, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
    state.settings = settings;
}

void chain_tick(
    chain_state& /*state*/, const membership_state& /*members*/,
    time_point /*now*/, random_source& /*random*/, control_actions& /*actions*/)
{
}

void chain_on_message(
    chain_state& /*state*/, const membership_state& /*members*/,
    const incoming_message& /*message*/, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
}

void chain_on_platform_reply(
    chain_state& /*state*/, const membership_state& /*members*/,
    const platform_reply& /*reply*/, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
}

time_point chain_due(const chain_state& /*state*/)
{
    return time_point::max();
}

void chain_commit(
    chain_state& state, commit_token token, std::uint64_t /*base_revision*/,
    const std::string& /*operation_id*/, const std::string& /*operations*/,
    time_point /*now*/, random_source& /*random*/, control_actions& /*actions*/)
{
    state.results.push_back(
        {token, commit_status::unknown, 0, "no platform client yet"});
}

} // namespace cyclamenhold
