#include "experiment/arrivals.hpp"

#include "core/base/random.hpp"

#include <algorithm>
#include <tuple>

namespace cyclamenhold
{
namespace
{

// The highest rate of a workspace over the run. Rates change only where phases
// begin and end.
double peak_rate(const scenario& plan, const scenario_workspace& workspace)
{
    double peak = offered_rate(plan, workspace, 0.0);
    for (const scenario_phase& phase : plan.phases)
    {
        peak = std::max(peak, offered_rate(plan, workspace, phase.from_s));
        peak = std::max(peak, offered_rate(plan, workspace, phase.until_s));
    }
    return peak;
}

std::uint32_t draw_route(const scenario& plan, random_source& random)
{
    std::vector<double> weights;
    for (const scenario_route& route : plan.routes)
    {
        weights.push_back(route.weight);
    }
    return std::discrete_distribution<std::uint32_t>(
        weights.begin(), weights.end())(random);
}

// Generates a non-homogeneous Poisson process by thinning: draws arrivals at
// the peak rate and accepts each with probability rate / peak.
void add_poisson(
    const scenario& plan, std::uint32_t index, random_source& random,
    std::vector<arrival>& arrivals)
{
    const scenario_workspace& workspace = plan.workspaces[index];
    const double peak = peak_rate(plan, workspace);
    if (peak <= 0.0)
    {
        return;
    }
    std::exponential_distribution<double> gap(peak);
    for (double at = gap(random); at < plan.duration_s; at += gap(random))
    {
        const double share = offered_rate(plan, workspace, at) / peak;
        if (random_fraction(random) < share)
        {
            arrivals.push_back({at, index, draw_route(plan, random)});
        }
    }
}

void add_fixed(
    const scenario& plan, std::uint32_t index, random_source& random,
    std::vector<arrival>& arrivals)
{
    // Step to the next time at which a workspace with rate zero is checked, as
    // a later phase may have another rate.
    constexpr double silent_step_s = 0.01;
    const scenario_workspace& workspace = plan.workspaces[index];
    double at = 0.0;
    while (at < plan.duration_s)
    {
        const double rate = offered_rate(plan, workspace, at);
        if (rate <= 0.0)
        {
            at += silent_step_s;
            continue;
        }
        arrivals.push_back({at, index, draw_route(plan, random)});
        at += 1.0 / rate;
    }
}

} // namespace

std::vector<arrival> make_arrivals(const scenario& plan)
{
    std::vector<arrival> arrivals;
    random_source random(plan.seed);
    for (std::uint32_t index = 0; index < plan.workspaces.size(); ++index)
    {
        if (plan.poisson)
        {
            add_poisson(plan, index, random, arrivals);
        }
        else
        {
            add_fixed(plan, index, random, arrivals);
        }
    }
    std::ranges::sort(
        arrivals,
        [](const arrival& left, const arrival& right)
        {
            return std::tie(left.at_s, left.workspace) <
                   std::tie(right.at_s, right.workspace);
        });
    return arrivals;
}

} // namespace cyclamenhold
