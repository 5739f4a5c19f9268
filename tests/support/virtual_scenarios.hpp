// Deployments and scenarios of the overload tests and benchmark.
#pragma once

#include "support/virtual_model.hpp"

namespace cyclamenhold
{

// Eight workspaces, two of them large.
[[nodiscard]] inline std::vector<workspace_model> eight_workspaces()
{
    return {{"cousin", 0.35},   {"museum", 0.25},   {"school-1", 0.1},
            {"school-2", 0.1},  {"school-3", 0.08}, {"school-4", 0.05},
            {"school-5", 0.04}, {"school-6", 0.03}};
}

// The critical route uses every service, the smallest one last.
[[nodiscard]] inline std::vector<route_model> three_routes()
{
    return {
        {"book", priority_class::critical, {0, 1, 2, 3}, 0.15},
        {"quote", priority_class::normal, {0, 2, 3}, 0.25},
        {"lookup", priority_class::low, {1, 2}, 0.6}};
}

[[nodiscard]] inline deployment_model brno()
{
    return {
        "brno",
        3,
        1,
        {{"booking", 150, 150, 1000, 100ms},
         {"catalogue", 150, 150, 1000, 100ms},
         {"planning", 150, 150, 1000, 100ms},
         {"payments", 45, 45, 350, 100ms}},
        three_routes(),
        eight_workspaces(),
        1200.0};
}

[[nodiscard]] inline deployment_model badge_office()
{
    return {
        "badge-office",
        4,
        1,
        {{"front-desk", 100, 100, 700, 100ms},
         {"registry", 100, 100, 700, 100ms},
         {"documents", 100, 100, 700, 100ms},
         {"market-rules", 15, 15, 200, 50ms}},
        three_routes(),
        eight_workspaces(),
        1000.0};
}

[[nodiscard]] inline std::vector<scenario_model> all_scenarios()
{
    std::vector<scenario_model> scenarios(7);
    scenarios[0].name = "deep-service-slows";
    scenarios[0].slow_service = 3;
    scenarios[0].slow_factor = 5.0;
    scenarios[1].name = "surge";
    scenarios[1].surge = 3.0;
    scenarios[2].name = "large-workspace";
    scenarios[2].surging_workspace = 0;
    scenarios[2].workspace_surge = 10.0;
    scenarios[3].name = "data-centre-dies";
    scenarios[3].failed_data_centre = 0;
    scenarios[4].name = "small-service-saturates";
    scenarios[4].surging_route = 1;
    scenarios[4].route_surge = 6.0;
    scenarios[4].rate_multiple = 10.0;
    scenarios[5].name = "slow-and-surge";
    scenarios[5].slow_service = 3;
    scenarios[5].slow_factor = 5.0;
    scenarios[5].surge = 2.0;
    scenarios[6].name = "slow-and-large-workspace";
    scenarios[6].slow_service = 2;
    scenarios[6].slow_factor = 5.0;
    scenarios[6].surging_workspace = 0;
    scenarios[6].workspace_surge = 10.0;
    return scenarios;
}

} // namespace cyclamenhold
