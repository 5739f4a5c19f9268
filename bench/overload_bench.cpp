// Runs the overload scenarios on both deployments under a virtual clock and
// compares this project's policy with a plain pass-through and with a fixed
// concurrency limit. Prints a table, or with --json one JSON line for each run.
// --seconds sets the duration of the overload trigger, --only selects scenarios
// by a part of their names.
#include "support/virtual_report.hpp"
#include "support/virtual_run.hpp"
#include "support/virtual_scenarios.hpp"

#include <cstdio>
#include <iostream>

#include <boost/json.hpp>
#include <cxxopts.hpp>

namespace
{

using namespace cyclamenhold;

void print_json(
    const deployment_model& deployment, const scenario_model& scenario,
    overload_policy policy, const overload_figures& figures)
{
    const boost::json::object line{
        {"deployment", deployment.name},
        {"scenario", scenario.name},
        {"policy", std::string(name_of(policy))},
        {"seed", scenario.seed},
        {"goodput_over_capacity", figures.goodput},
        {"critical_served", figures.critical_served},
        {"critical_possible", figures.critical_possible},
        {"recovery_seconds", figures.recovery_seconds},
        {"worst_workspace", figures.worst_workspace},
        {"unforced_failures", figures.unforced_failures},
        {"attempts_at_deepest", figures.attempts_at_deepest},
        {"requests", figures.requests}};
    std::cout << boost::json::serialize(line) << '\n';
}

void print_row(
    const deployment_model& deployment, const scenario_model& scenario,
    overload_policy policy, const overload_figures& figures)
{
    std::printf(
        "%-13s %-25s %-13s %7.3f %7.4f/%6.4f %8.2f %7.3f %9.4f %8.2f\n",
        deployment.name.c_str(), scenario.name.c_str(), name_of(policy).data(),
        figures.goodput, figures.critical_served, figures.critical_possible,
        figures.recovery_seconds, figures.worst_workspace,
        figures.unforced_failures, figures.attempts_at_deepest);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "overload_bench", "Overload under a virtual clock");
    options.add_options()("json", "print one JSON line for each run")(
        "seconds", "duration of the overload trigger in seconds",
        cxxopts::value<int>()->default_value("30"))(
        "only", "run only scenarios with this text in their names",
        cxxopts::value<std::string>()->default_value(""))(
        "policy", "run only this policy",
        cxxopts::value<std::string>()->default_value(""))(
        "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto arguments = options.parse(argc, argv);
    const bool json = arguments.count("json") > 0;
    if (!json)
    {
        std::printf(
            "%-13s %-25s %-13s %7s %14s %8s %7s %9s %8s\n", "deployment",
            "scenario", "policy", "goodput", "critical", "recovery", "worst",
            "unforced", "attempts");
    }
    for (const auto& deployment : {brno(), badge_office()})
    {
        for (auto scenario : all_scenarios())
        {
            if (scenario.name.find(arguments["only"].as<std::string>()) ==
                std::string::npos)
            {
                continue;
            }
            scenario.seed = arguments["seed"].as<std::uint64_t>();
            scenario.trigger_end =
                scenario.trigger_start +
                std::chrono::seconds(arguments["seconds"].as<int>());
            scenario.length = scenario.trigger_end + 10s;
            for (const auto& [policy, name] :
                 enum_names<overload_policy>::table)
            {
                if (const auto only = arguments["policy"].as<std::string>();
                    !only.empty() && only != name)
                {
                    continue;
                }
                const auto figures = measure(
                    deployment, scenario,
                    run_scenario(deployment, scenario, policy));
                (json ? print_json
                      : print_row)(deployment, scenario, policy, figures);
            }
        }
    }
}
