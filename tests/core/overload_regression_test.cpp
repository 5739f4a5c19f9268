// Overload targets on both deployments, on a virtual clock. Each target,
// deployment and scenario is a test of its own, so that a missed target is
// reported by name.
#include "support/virtual_report.hpp"
#include "support/virtual_run.hpp"
#include "support/virtual_scenarios.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace cyclamenhold
{
namespace
{

constexpr double min_goodput = 0.95;
constexpr double min_critical_served = 0.999;
constexpr double max_recovery_seconds = 2.0;
constexpr double min_workspace_share = 0.9;
// As a fraction of all requests; the target is none.
constexpr double max_unforced_failures = 0.0;

struct overload_case
{
    deployment_model deployment;
    scenario_model scenario;
};

std::ostream& operator<<(std::ostream& out, const overload_case& value)
{
    return out << value.deployment.name << ' ' << value.scenario.name;
}

std::vector<overload_case> all_cases()
{
    std::vector<overload_case> cases;
    for (const auto& deployment : {brno(), badge_office()})
    {
        for (auto scenario : all_scenarios())
        {
            scenario.trigger_end = scenario.trigger_start + 20s;
            scenario.length = scenario.trigger_end + 10s;
            cases.push_back({deployment, scenario});
        }
    }
    return cases;
}

std::string case_name(const testing::TestParamInfo<overload_case>& info)
{
    std::string name =
        info.param.deployment.name + "_" + info.param.scenario.name;
    std::ranges::replace(name, '-', '_');
    return name;
}

class overload_regression : public testing::TestWithParam<overload_case>
{
};

auto figures_of(const overload_case& value)
{
    return measure(
        value.deployment, value.scenario,
        run_scenario(
            value.deployment, value.scenario, overload_policy::adaptive));
}

TEST_P(overload_regression, goodput)
{
    EXPECT_GE(figures_of(GetParam()).goodput, min_goodput);
}

TEST_P(overload_regression, critical_served)
{
    const auto figures = figures_of(GetParam());
    EXPECT_GE(
        figures.critical_served,
        min_critical_served * figures.critical_possible);
}

TEST_P(overload_regression, worst_workspace)
{
    EXPECT_GE(figures_of(GetParam()).worst_workspace, min_workspace_share);
}

TEST_P(overload_regression, no_unforced_failures)
{
    EXPECT_LE(figures_of(GetParam()).unforced_failures, max_unforced_failures);
}

TEST_P(overload_regression, recovery)
{
    EXPECT_LE(figures_of(GetParam()).recovery_seconds, max_recovery_seconds);
}

TEST_P(overload_regression, attempts_at_deepest)
{
    // One attempt each, one retry per ten attempts, and the callers' retries.
    EXPECT_LE(
        figures_of(GetParam()).attempts_at_deepest,
        1.1 * (1 + GetParam().scenario.caller_retries));
}

INSTANTIATE_TEST_SUITE_P(
    all, overload_regression, testing::ValuesIn(all_cases()), case_name);

// Guards against failed requests while no scenario is active and demand is
// below capacity.
TEST(overload, no_request_fails_without_overload)
{
    for (const auto& deployment : {brno(), badge_office()})
    {
        SCOPED_TRACE(deployment.name);
        scenario_model scenario;
        scenario.caller_retries = 0;
        const auto result =
            run_scenario(deployment, scenario, overload_policy::adaptive);
        std::size_t failed = 0;
        for (const auto& request : result.requests)
        {
            const bool ended = request.ended != time_point{};
            failed += ended && !request.succeeded ? 1 : 0;
        }
        EXPECT_EQ(failed, 0U);
        EXPECT_GT(result.requests.size(), 10000U);
    }
}

} // namespace
} // namespace cyclamenhold
