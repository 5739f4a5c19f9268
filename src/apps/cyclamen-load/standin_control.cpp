#include "standin_control.hpp"

#include "adapters/clock.hpp"
#include "adapters/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <thread>

namespace cyclamenhold
{
namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

namespace
{

http_result control_call(
    const tcp::endpoint& endpoint, const char* method, const char* target,
    const std::string& body)
{
    asio::io_context context(1);
    http_pool pool(context.get_executor(), endpoint, 1);
    http_call call;
    call.method = method;
    call.target = target;
    call.body = body;
    http_result result;
    asio::co_spawn(
        context, http_send(pool, std::move(call)),
        [&](const std::exception_ptr&, http_result reply)
        {
            result = std::move(reply);
        });
    context.run();
    return result;
}

std::uint64_t count_of(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    json::error_code error;
    return value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
}

service_counts&
entry_of(std::vector<service_counts>& list, const std::string& service)
{
    const auto found =
        std::ranges::find(list, service, &service_counts::service);
    if (found != list.end())
    {
        return *found;
    }
    list.push_back({service, 0, 0, 0, 0});
    return list.back();
}

std::vector<tcp::endpoint>
endpoints_of(const scenario_trigger& trigger, const fleet& processes)
{
    std::vector<tcp::endpoint> endpoints;
    if (trigger.service == "platform")
    {
        if (processes.platform)
        {
            endpoints.push_back(*processes.platform);
        }
        return endpoints;
    }
    for (const fleet_upstream& upstream : processes.upstreams)
    {
        const bool is_affected =
            (trigger.service.empty() || trigger.service == upstream.service) &&
            (trigger.data_centre.empty() ||
             trigger.data_centre == upstream.data_centre);
        if (is_affected)
        {
            endpoints.push_back(upstream.control);
        }
    }
    return endpoints;
}

struct fault_change
{
    double at_s = 0.0;
    std::vector<tcp::endpoint> endpoints;
    std::string faults;
};

std::vector<fault_change>
fault_changes_of(const scenario& plan, const fleet& processes)
{
    std::vector<fault_change> changes;
    for (const scenario_trigger& trigger : plan.triggers)
    {
        const auto endpoints = endpoints_of(trigger, processes);
        changes.push_back({trigger.from_s, endpoints, trigger.on});
        changes.push_back({trigger.until_s, endpoints, trigger.off});
    }
    std::ranges::stable_sort(changes, {}, &fault_change::at_s);
    return changes;
}

} // namespace

std::vector<service_counts> read_service_counts(const fleet& processes)
{
    std::vector<service_counts> list;
    for (const fleet_upstream& upstream : processes.upstreams)
    {
        const auto result =
            control_call(upstream.control, "GET", "/v1/counts", "");
        json::error_code error;
        const json::value value = json::parse(result.body, error);
        service_counts& entry = entry_of(list, upstream.service);
        if (error || !value.is_object())
        {
            continue;
        }
        const json::object& object = value.get_object();
        entry.received += count_of(object, "received");
        entry.started += count_of(object, "started");
        entry.finished += count_of(object, "finished");
        entry.shed += count_of(object, "shed");
    }
    return list;
}

std::vector<service_counts> counts_between(
    const std::vector<service_counts>& before,
    const std::vector<service_counts>& after)
{
    std::vector<service_counts> list = after;
    for (const service_counts& old : before)
    {
        service_counts& entry = entry_of(list, old.service);
        // The counters of a restarted stand-in begin at zero.
        entry.received -= std::min(entry.received, old.received);
        entry.started -= std::min(entry.started, old.started);
        entry.finished -= std::min(entry.finished, old.finished);
        entry.shed -= std::min(entry.shed, old.shed);
    }
    return list;
}

void run_triggers(
    const scenario& plan, const fleet& processes, time_point start)
{
    for (const fault_change& change : fault_changes_of(plan, processes))
    {
        std::this_thread::sleep_until(start + from_seconds(change.at_s));
        for (const tcp::endpoint& endpoint : change.endpoints)
        {
            const auto result =
                control_call(endpoint, "PUT", "/v1/faults", change.faults);
            if (result.http_status != 200)
            {
                std::cerr << "cannot set faults at " << endpoint << ": status "
                          << result.http_status << ' ' << result.body << '\n';
            }
        }
    }
}

} // namespace cyclamenhold
