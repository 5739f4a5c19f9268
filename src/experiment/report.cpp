#include "experiment/report.hpp"

#include <boost/json.hpp>

#include <iomanip>
#include <sstream>

namespace cyclamenhold
{
namespace json = boost::json;

namespace
{

json::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 1.0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

json::array workspaces_to_json(const experiment_figures& figures)
{
    json::array list;
    for (const workspace_figures& workspace : figures.workspaces)
    {
        list.push_back(json::object{
            {"name", workspace.name},
            {"offered", workspace.offered},
            {"served", workspace.served},
            {"entitled", workspace.entitled},
            {"refused_inside_rate", workspace.refused_inside_rate},
            {"rate_refused_inside_rate", workspace.rate_refused_inside_rate}});
    }
    return list;
}

json::array classes_to_json(const experiment_figures& figures)
{
    json::array list;
    for (const class_figures& entry : figures.classes)
    {
        list.push_back(json::object{
            {"class", view(name_of(entry.priority))},
            {"offered", entry.offered},
            {"served", entry.served},
            {"share", share(entry.served, entry.offered)}});
    }
    return list;
}

json::array services_to_json(const experiment_figures& figures)
{
    json::array list;
    for (const service_counts& counts : figures.services)
    {
        list.push_back(json::object{
            {"service", counts.service},
            {"received", counts.received},
            {"started", counts.started},
            {"finished", counts.finished},
            {"shed", counts.shed}});
    }
    return list;
}

void add_line(std::ostringstream& out, const char* name, double value)
{
    out << std::left << std::setw(34) << name << std::right << std::setw(12)
        << value << '\n';
}

void add_workspaces(std::ostringstream& out, const experiment_figures& figures)
{
    out << '\n'
        << std::left << std::setw(18) << "workspace" << std::right
        << std::setw(10) << "offered" << std::setw(10) << "served"
        << std::setw(10) << "entitled" << std::setw(16) << "refused inside"
        << '\n';
    for (const workspace_figures& workspace : figures.workspaces)
    {
        out << std::left << std::setw(18) << workspace.name << std::right
            << std::setw(10) << workspace.offered << std::setw(10)
            << workspace.served << std::setw(10) << workspace.entitled
            << std::setw(16) << workspace.refused_inside_rate << '\n';
    }
}

void add_classes(std::ostringstream& out, const experiment_figures& figures)
{
    out << '\n'
        << std::left << std::setw(18) << "class" << std::right << std::setw(10)
        << "offered" << std::setw(10) << "served" << std::setw(10) << "share"
        << '\n';
    for (const class_figures& entry : figures.classes)
    {
        out << std::left << std::setw(18) << name_of(entry.priority)
            << std::right << std::setw(10) << entry.offered << std::setw(10)
            << entry.served << std::setw(10)
            << share(entry.served, entry.offered) << '\n';
    }
}

} // namespace

std::string to_table(const scenario& plan, const experiment_figures& figures)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(3) << plan.name << ", seed "
        << plan.seed << ", disturbed from " << figures.disturbed.from_s
        << " s to " << figures.disturbed.until_s << " s\n\n";
    add_line(out, "offered before, calls/s", figures.offered_before);
    add_line(out, "goodput before, calls/s", figures.goodput_before);
    add_line(out, "offered during, calls/s", figures.offered_during);
    add_line(out, "goodput during, calls/s", figures.goodput_during);
    add_line(out, "  of it inside the rates", figures.goodput_inside_rate);
    add_line(out, "goodput after, calls/s", figures.goodput_after);
    add_line(out, "recovery, s (negative: never)", figures.recovery_s);
    add_line(out, "worst-served workspace", figures.worst_served);
    add_line(
        out, "refused inside the rate",
        static_cast<double>(figures.refused_inside_rate));
    add_line(
        out, "  of these by the rate limit",
        static_cast<double>(figures.rate_refused_inside_rate));
    add_line(out, "attempts per call, deepest", figures.deepest_attempts);
    add_line(out, "latency p50, ms", figures.latency_p50_ms);
    add_line(out, "latency p99, ms", figures.latency_p99_ms);
    add_workspaces(out, figures);
    add_classes(out, figures);
    return out.str();
}

std::string to_json(const scenario& plan, const experiment_figures& figures)
{
    json::object object{
        {"scenario", plan.name},
        {"seed", plan.seed},
        {"disturbed_from_s", figures.disturbed.from_s},
        {"disturbed_until_s", figures.disturbed.until_s},
        {"calls", figures.calls},
        {"attempts", figures.attempts},
        {"offered_before", figures.offered_before},
        {"goodput_before", figures.goodput_before},
        {"offered_during", figures.offered_during},
        {"goodput_during", figures.goodput_during},
        {"goodput_inside_rate", figures.goodput_inside_rate},
        {"goodput_after", figures.goodput_after},
        {"recovery_s", figures.recovery_s},
        {"worst_served", figures.worst_served},
        {"worst_workspace", figures.worst_workspace},
        {"refused_inside_rate", figures.refused_inside_rate},
        {"rate_refused_inside_rate", figures.rate_refused_inside_rate},
        {"deepest_attempts", figures.deepest_attempts},
        {"latency_p50_ms", figures.latency_p50_ms},
        {"latency_p99_ms", figures.latency_p99_ms},
        {"workspaces", workspaces_to_json(figures)},
        {"classes", classes_to_json(figures)},
        {"services", services_to_json(figures)}};
    return json::serialize(object);
}

std::string to_csv(const experiment_figures& figures)
{
    std::ostringstream out;
    out << "from_s,offered,served";
    for (const auto& [priority, name] : enum_names<priority_class>::table)
    {
        out << ',' << name;
    }
    out << '\n';
    for (const goodput_bin& bin : figures.bins)
    {
        out << bin.from_s << ',' << bin.offered << ',' << bin.served;
        for (const std::uint64_t served : bin.served_by_class)
        {
            out << ',' << served;
        }
        out << '\n';
    }
    return out.str();
}

} // namespace cyclamenhold
