#include "experiment/scenario.hpp"

#include "experiment/member_reader.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

// Limits that reject a mistyped scenario before it overloads the machine.
constexpr double max_duration_s = 600.0;
constexpr double max_rate = 100'000.0;
constexpr double max_body_bytes = 64.0 * 1024 * 1024;

scenario_workspace read_workspace(member_reader& reader)
{
    scenario_workspace workspace;
    workspace.name = reader.required_text("name");
    workspace.offered = reader.number("offered", 0.0, 0.0, max_rate);
    workspace.rate = reader.number("rate", workspace.offered, 0.0, max_rate);
    workspace.burst = reader.number("burst", workspace.rate, 0.0, max_rate);
    reader.reject_unknown();
    return workspace;
}

scenario_route read_route(member_reader& reader)
{
    scenario_route route;
    route.name = reader.required_text("name");
    const auto priority =
        value_named<priority_class>(reader.text("class", "normal"));
    if (!priority)
    {
        reader.add("class", "must be critical, high, normal or low");
    }
    route.priority = priority.value_or(priority_class::normal);
    route.method = reader.text("method", "POST");
    route.path = reader.required_text("path");
    if (!route.path.starts_with('/'))
    {
        reader.add("path", "must start with a slash");
    }
    route.weight = reader.number("weight", 1.0, 0.0, 1e6);
    route.body_bytes = static_cast<std::uint64_t>(
        reader.number("body_bytes", 0.0, 0.0, max_body_bytes));
    route.reply_bytes = static_cast<std::uint64_t>(
        reader.number("reply_bytes", 0.0, 0.0, max_body_bytes));
    route.never_repeat = reader.flag("never_repeat", false);
    reader.reject_unknown();
    return route;
}

scenario_phase read_phase(member_reader& reader)
{
    scenario_phase phase;
    phase.from_s = reader.number("from_s", 0.0, 0.0, max_duration_s);
    phase.until_s = reader.number("until_s", 0.0, 0.0, max_duration_s);
    phase.multiplier = reader.number("multiplier", 1.0, 0.0, 1'000.0);
    phase.workspace = reader.text("workspace");
    reader.reject_unknown();
    return phase;
}

scenario_trigger read_trigger(member_reader& reader)
{
    scenario_trigger trigger;
    trigger.from_s = reader.number("from_s", 0.0, 0.0, max_duration_s);
    trigger.until_s = reader.number("until_s", 0.0, 0.0, max_duration_s);
    trigger.service = reader.text("service");
    trigger.data_centre = reader.text("data_centre");
    trigger.on = reader.object_text("on");
    trigger.off = reader.object_text("off");
    reader.reject_unknown();
    return trigger;
}

std::uint32_t
read_count(member_reader& reader, std::string_view name, double fallback)
{
    return static_cast<std::uint32_t>(
        reader.number(name, fallback, 1.0, 100'000.0));
}

scenario_service read_service(member_reader& reader)
{
    scenario_service service;
    service.name = reader.required_text("name");
    service.workers_per_data_centre =
        read_count(reader, "workers_per_data_centre", 1);
    service.slots = read_count(reader, "slots", 100);
    service.connections = read_count(reader, "connections", 1'000);
    service.queue = static_cast<std::uint32_t>(
        reader.number("queue", 100.0, 0.0, 100'000.0));
    service.service_time_ms =
        reader.number("service_time_ms", 20.0, 0.0, 60'000.0);
    service.speeds = reader.numbers("speeds");
    service.calls = reader.texts("calls");
    reader.reject_unknown();
    return service;
}

template <class Item>
void read_list(
    member_reader& reader, std::string_view name, std::vector<Item>& list,
    Item (*read)(member_reader&))
{
    for (member_reader& item : reader.objects(name))
    {
        list.push_back(read(item));
    }
}

void read_load(member_reader& reader, scenario& plan)
{
    plan.name = reader.required_text("name");
    plan.seed = static_cast<std::uint64_t>(reader.number("seed", 1, 0, 1e15));
    plan.duration_s = reader.number("duration_s", 30.0, 0.1, max_duration_s);
    plan.warm_up_s = reader.number("warm_up_s", 2.0, 0.0, max_duration_s);
    const std::string arrivals = reader.text("arrivals", "poisson");
    if (arrivals != "poisson" && arrivals != "fixed")
    {
        reader.add("arrivals", "must be poisson or fixed");
    }
    plan.poisson = arrivals != "fixed";
    plan.timeout_s = reader.number("timeout_s", 2.0, 0.01, max_duration_s);
    plan.threads =
        static_cast<std::uint32_t>(reader.number("threads", 2, 1, 4));
    plan.connections =
        static_cast<std::uint32_t>(reader.number("connections", 64, 1, 1'000));
    if (auto retries = reader.object("retries"))
    {
        plan.retries.attempts =
            static_cast<std::uint32_t>(retries->number("attempts", 0, 0, 100));
        plan.retries.delay_s = retries->number("delay_s", 0.05, 0.0, 60.0);
        retries->reject_unknown();
    }
}

void check_phases(member_reader& reader, const scenario& plan)
{
    for (std::size_t index = 0; index < plan.phases.size(); ++index)
    {
        const scenario_phase& phase = plan.phases[index];
        const std::string place = "phases/" + std::to_string(index);
        if (phase.until_s <= phase.from_s)
        {
            reader.add(place, "must end after it begins");
        }
        const bool known = std::ranges::any_of(
            plan.workspaces,
            [&](const scenario_workspace& workspace)
            {
                return workspace.name == phase.workspace;
            });
        if (!phase.workspace.empty() && !known)
        {
            reader.add(place + "/workspace", "is not a workspace");
        }
    }
}

void check_scenario(member_reader& reader, const scenario& plan)
{
    if (plan.workspaces.empty())
    {
        reader.add("workspaces", "must not be empty");
    }
    const bool has_selectable_route = std::ranges::any_of(
        plan.routes,
        [](const scenario_route& route)
        {
            return route.weight > 0.0;
        });
    if (!has_selectable_route)
    {
        reader.add("routes", "must contain a route with a positive weight");
    }
    for (std::size_t index = 0; index < plan.triggers.size(); ++index)
    {
        if (plan.triggers[index].until_s <= plan.triggers[index].from_s)
        {
            reader.add(
                "triggers/" + std::to_string(index),
                "must end after it begins");
        }
    }
    check_phases(reader, plan);
}

// Adds the members of the deployment that `value` lacks. Returns false if the
// deployment is not a JSON object.
bool merge_defaults(
    boost::json::value& value, std::string_view deployment, findings& found)
{
    if (deployment.empty() || !value.is_object())
    {
        return true;
    }
    const auto defaults = parse_json_with_comments(deployment, found);
    if (!defaults || !defaults->is_object())
    {
        return false;
    }
    for (const auto& [name, member] : defaults->get_object())
    {
        value.get_object().emplace(name, member);
    }
    return true;
}

} // namespace

scenario parse_scenario(
    std::string_view text, std::string_view deployment, findings& found)
{
    scenario plan;
    auto value = parse_json_with_comments(text, found);
    if (!value || !merge_defaults(*value, deployment, found))
    {
        return plan;
    }
    member_reader reader(*value, "", found);
    read_load(reader, plan);
    plan.data_centres = reader.texts("data_centres");
    plan.deepest_service = reader.text("deepest_service");
    read_list(reader, "services", plan.services, read_service);
    read_list(reader, "workspaces", plan.workspaces, read_workspace);
    read_list(reader, "routes", plan.routes, read_route);
    read_list(reader, "phases", plan.phases, read_phase);
    read_list(reader, "triggers", plan.triggers, read_trigger);
    reader.reject_unknown();
    check_scenario(reader, plan);
    return plan;
}

disturbance disturbance_of(const scenario& plan)
{
    if (plan.phases.empty() && plan.triggers.empty())
    {
        return {plan.duration_s, plan.duration_s};
    }
    disturbance span{plan.duration_s, 0.0};
    const auto widen = [&](double from_s, double until_s)
    {
        span.from_s = std::min(span.from_s, from_s);
        span.until_s = std::max(span.until_s, until_s);
    };
    for (const scenario_phase& phase : plan.phases)
    {
        widen(phase.from_s, phase.until_s);
    }
    for (const scenario_trigger& trigger : plan.triggers)
    {
        widen(trigger.from_s, trigger.until_s);
    }
    span.until_s = std::min(span.until_s, plan.duration_s);
    return span;
}

double offered_rate(
    const scenario& plan, const scenario_workspace& workspace, double at_s)
{
    double rate = workspace.offered;
    for (const scenario_phase& phase : plan.phases)
    {
        const bool applies =
            phase.workspace.empty() || phase.workspace == workspace.name;
        if (applies && at_s >= phase.from_s && at_s < phase.until_s)
        {
            rate *= phase.multiplier;
        }
    }
    return rate;
}

} // namespace cyclamenhold
