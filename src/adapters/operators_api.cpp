#include "adapters/operators_api.hpp"

#include "adapters/clock.hpp"
#include "adapters/peer_handshake.hpp"
#include "core/intent/configuration_json.hpp"
#include "core/intent/plan.hpp"

#include <boost/json.hpp>

#include <absl/strings/escaping.h>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;

operator_reply json_reply(unsigned status, const json::value& body)
{
    return {status, "application/json", json::serialize(body) + '\n'};
}

operator_reply message_reply(unsigned status, std::string_view message)
{
    return json_reply(status, json::object{{"message", message}});
}

json::array members_json(const membership_state& members)
{
    json::array list;
    for (const auto& [host, member] : members.members)
    {
        list.push_back(json::object{
            {"host", to_string(host)},
            {"state", name_of(member.state)},
            {"incarnation", member.host_incarnation},
            {"revision", member.revision},
            {"service", member.upstream.service},
            {"upstream", name_of(member.upstream.state)}});
    }
    return list;
}

operator_reply status_reply(const operators_api& api)
{
    const control_loop& loop = *api.control;
    const auto& upstream = loop.state.membership.local_upstream;
    return json_reply(
        200,
        json::object{
            {"node", api.node_name},
            {"host", to_string(loop.services.self)},
            {"incarnation", loop.services.self_incarnation},
            {"data_centre", loop.state.membership.settings.data_centre_name},
            {"revision", loop.state.chain.current->revision},
            {"platform_reachable", loop.platform_reachable},
            {"control_busy_us", loop.busy_us.load()},
            {"service", upstream.service},
            {"upstream", name_of(upstream.state)},
            {"members", members_json(loop.state.membership)}});
}

json::value findings_json(const findings& found)
{
    json::array list;
    for (const auto& [place, message] : found)
    {
        list.push_back(json::object{{"place", place}, {"message", message}});
    }
    return json::object{{"findings", list}};
}

std::string new_operation_id()
{
    const handshake_nonce random = make_nonce();
    constexpr std::size_t id_bytes = 16;
    return absl::BytesToHexString(absl::string_view(
        reinterpret_cast<const char*>(random.data()), id_bytes));
}

operator_reply plan_reply(const operators_api& api, const std::string& body)
{
    const control_loop& loop = *api.control;
    const auto [found, plan, diff] = plan_change(
        *loop.state.chain.current, body, new_operation_id(), wall_clock_ms());
    if (!found.empty())
    {
        return json_reply(422, findings_json(found));
    }
    return json_reply(
        200, json::object{
                 {"plan", sign_plan(plan, loop.services.fleet_secret)},
                 {"base_revision", plan.base_revision},
                 {"diff", json::value_from(diff)}});
}

operator_reply commit_reply(const commit_result& result)
{
    switch (result.status)
    {
    case commit_status::committed:
        return json_reply(200, json::object{{"revision", result.revision}});
    case commit_status::conflict:
        return json_reply(
            409, json::object{
                     {"message", "the configuration has changed since the plan "
                                 "was made; plan again"},
                     {"revision", result.revision},
                     {"changes", json::array{result.detail}}});
    case commit_status::invalid:
        return message_reply(422, result.detail);
    case commit_status::unknown:
        break;
    }
    return message_reply(
        503,
        "no answer from the platform; it is safe to confirm the plan again");
}

// The token in {"plan": "..."}; empty if there is none.
std::string plan_token(const std::string& body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object())
    {
        return {};
    }
    const auto* const token = value.as_object().if_contains("plan");
    if (token == nullptr || !token->is_string())
    {
        return {};
    }
    return std::string(token->as_string());
}

void confirm_plan(
    const operators_api& api, const std::string& body, operator_callback done)
{
    control_loop& loop = *api.control;
    const std::string token = plan_token(body);
    if (token.empty())
    {
        done(json_reply(
            422, findings_json(
                     {{"/plan", "must be the token of a plan, a string"}})));
        return;
    }
    const auto plan =
        verify_plan(token, loop.services.fleet_secret, wall_clock_ms());
    if (!plan.ok())
    {
        const std::string message(plan.status().message());
        done(json_reply(422, findings_json({{"/plan", message}})));
        return;
    }
    commit_change(
        loop, plan->base_revision, plan->operation_id, plan->operations,
        [done = std::move(done)](const commit_result& result)
        {
            done(commit_reply(result));
        });
}

} // namespace

void handle_operator_request(
    operators_api& api, const operator_request& request, operator_callback done)
{
    const bool is_get = request.method == "GET";
    if (is_get && request.target == "/v1/status")
    {
        done(status_reply(api));
        return;
    }
    if (is_get && request.target == "/v1/configuration")
    {
        done(
            json_reply(200, to_json_object(*api.control->state.chain.current)));
        return;
    }
    if (request.method == "POST" && request.target == "/v1/intents")
    {
        done(plan_reply(api, request.body));
        return;
    }
    if (request.method == "POST" && request.target == "/v1/plans/confirm")
    {
        confirm_plan(api, request.body, std::move(done));
        return;
    }
    if (is_get && request.target == "/metrics")
    {
        done({200, "text/plain; version=0.0.4", api.metrics()});
        return;
    }
    if (is_get && request.target.starts_with("/v1/events"))
    {
        done(api.events(request.target));
        return;
    }
    if (request.method == "POST" && request.target == "/v1/drain")
    {
        api.drain();
        done(message_reply(202, "the node is stopping"));
        return;
    }
    done(message_reply(404, "no such request"));
}

} // namespace cyclamenhold
