#include "core/claims/claims.hpp"

namespace cyclamenhold
{

void claims_start(
    claims_state& state, const claims_settings& settings, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
    state.settings = settings;
}

void claims_tick(
    claims_state& /*state*/, const claims_inputs& /*inputs*/,
    time_point /*now*/, random_source& /*random*/, control_actions& /*actions*/)
{
}

void claims_on_message(
    claims_state& /*state*/, const claims_inputs& /*inputs*/,
    const incoming_message& /*message*/, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
}

time_point claims_due(const claims_state& /*state*/)
{
    return time_point::max();
}

void claims_ask(
    claims_state& state, const claims_inputs& /*inputs*/,
    const claim_question& question, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
    state.answers.push_back(
        {question.token, claim_status::unavailable, {}, {}});
}

void claims_complete(
    claims_state& /*state*/, const claims_inputs& /*inputs*/,
    const claim_completion& /*completion*/, time_point /*now*/,
    random_source& /*random*/, control_actions& /*actions*/)
{
}

std::string claims_issue_ticket(
    claims_state& /*state*/, const claims_inputs& /*inputs*/,
    random_source& /*random*/)
{
    return {};
}

bool claims_accept_at_gate(
    claims_state& /*state*/, const claim_grant& grant, time_point now)
{
    return grant.steward_epoch == 0 || now < grant.valid_until;
}

} // namespace cyclamenhold
