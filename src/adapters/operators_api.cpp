#include "adapters/operators_api.hpp"

#include "adapters/clock.hpp"

#include <boost/json.hpp>

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

} // namespace

void handle_operator_request(
    operators_api& api, const operator_request& request, operator_callback done)
{
    const bool get = request.method == "GET";
    if (get && request.target == "/v1/status")
    {
        done(status_reply(api));
        return;
    }
    if (get && request.target == "/metrics")
    {
        done({200, "text/plain; version=0.0.4", api.metrics()});
        return;
    }
    if (get && request.target.starts_with("/v1/events"))
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
