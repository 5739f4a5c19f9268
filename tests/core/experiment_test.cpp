#include "experiment/arrivals.hpp"
#include "experiment/figures.hpp"
#include "experiment/plot.hpp"
#include "experiment/report.hpp"
#include "experiment/scenario.hpp"

#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace cyclamenhold
{
namespace
{

scenario two_workspaces()
{
    findings found;
    auto plan = parse_scenario(
        R"({
          "name": "two", "duration_s": 30, "warm_up_s": 0, // a comment
          "deepest_service": "deep",
          "workspaces": [
            {"name": "large", "offered": 80, "rate": 100},
            {"name": "small", "offered": 20, "rate": 30}],
          "routes": [
            {"name": "book", "class": "critical", "path": "/book"},
            {"name": "look", "path": "/look", "weight": 3}],
          "triggers": [{"from_s": 10, "until_s": 20, "on": {"die": true}}],
        })",
        "", found);
    EXPECT_TRUE(found.empty()) << to_string(found);
    return plan;
}

// Each invalid member has a finding with its JSON pointer, so that one check of
// a file shows all mistakes.
TEST(scenario, reports_all_problems)
{
    findings found;
    const auto plan = parse_scenario(
        R"({"duration_s": -1, "workspaces": [{"offered": "x"}],
            "routes": [{"name": "a", "class": "odd", "path": "b"}],
            "phases": [{"from_s": 2, "until_s": 1, "workspace": "none"}],
            "odd": 1})",
        "", found);
    const std::string text = to_string(found);
    for (const char* place :
         {"/name: ", "/duration_s: ", "/workspaces/0/name: ",
          "/workspaces/0/offered: ", "/routes/0/class: ", "/routes/0/path: ",
          "/phases/0: ", "/phases/0/workspace: ", "/odd: "})
    {
        EXPECT_NE(text.find(place), std::string::npos) << place << text;
    }
    found.clear();
    (void)parse_scenario("{\n  \"name\": ]", "", found);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].place, "line 2, column 11");
}

TEST(scenario, takes_missing_members_from_the_deployment)
{
    findings found;
    const auto plan = parse_scenario(
        R"({"name": "own", "timeout_s": 1})",
        R"({"timeout_s": 5, "data_centres": ["a"],
            "workspaces": [{"name": "w"}],
            "routes": [{"name": "r", "path": "/r"}]})",
        found);
    EXPECT_TRUE(found.empty()) << to_string(found);
    EXPECT_EQ(plan.timeout_s, 1.0);
    EXPECT_EQ(plan.data_centres, std::vector<std::string>{"a"});
}

// Guards against a change of the format that the scenario files of the
// repository do not follow.
TEST(scenario, parses_the_files_of_both_deployments)
{
    const auto read = [](const std::string& path)
    {
        std::ifstream file(path);
        EXPECT_TRUE(file) << path;
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    };
    for (const char* deployment : {"brno", "badges"})
    {
        const std::string folder = std::string(CYCLAMEN_SOURCE_DIR) +
                                   "/bench/scenarios/" + deployment + "/";
        const std::string defaults = read(folder + "deployment.json");
        for (const char* name :
             {"deep_slow", "surge", "large_workspace", "data_centre_lost",
              "small_service", "two_at_once"})
        {
            SCOPED_TRACE(folder + name);
            findings found;
            const auto plan =
                parse_scenario(read(folder + name + ".json"), defaults, found);
            EXPECT_TRUE(found.empty()) << to_string(found);
            EXPECT_EQ(plan.workspaces.size(), 8U);
            EXPECT_EQ(plan.services.size(), 4U);
            EXPECT_LT(disturbance_of(plan).from_s, plan.duration_s);
        }
    }
}

TEST(arrivals, follow_rates_and_phases_and_repeat_for_a_seed)
{
    auto plan = two_workspaces();
    plan.phases.push_back({10.0, 20.0, 3.0, "large"});
    for (const bool poisson : {true, false})
    {
        SCOPED_TRACE(poisson);
        plan.poisson = poisson;
        const auto arrivals = make_arrivals(plan);
        const auto again = make_arrivals(plan);
        ASSERT_EQ(arrivals.size(), again.size());
        std::size_t surge = 0;
        std::size_t small = 0;
        std::size_t critical = 0;
        for (std::size_t index = 0; index < arrivals.size(); ++index)
        {
            const arrival& planned = arrivals[index];
            EXPECT_EQ(planned.at_s, again[index].at_s);
            EXPECT_GE(
                planned.at_s, index == 0 ? 0.0 : arrivals[index - 1].at_s);
            surge += planned.workspace == 0 && planned.at_s >= 10 &&
                     planned.at_s < 20;
            small += planned.workspace == 1;
            critical += planned.route == 0;
        }
        EXPECT_NEAR(static_cast<double>(surge), 2400.0, 200.0);
        EXPECT_NEAR(static_cast<double>(small), 600.0, 100.0);
        EXPECT_NEAR(
            static_cast<double>(critical) /
                static_cast<double>(arrivals.size()),
            0.25, 0.04);
    }
}

TEST(figures, max_min_shares)
{
    const std::vector<double> demands{10.0, 100.0, 40.0};
    EXPECT_EQ(max_min_shares(demands, 90.0), (std::vector<double>{10, 40, 40}));
    EXPECT_EQ(max_min_shares(demands, 15.0), (std::vector<double>{5, 5, 5}));
    EXPECT_EQ(max_min_shares(demands, 1000.0), demands);
}

// All calls succeed, except during the disturbance and for 2 s after it: then
// half of the large workspace's calls and a quarter of the small one's succeed.
std::vector<sent_call> partly_served_run(const scenario& plan)
{
    std::vector<sent_call> records;
    std::vector<std::size_t> sent(plan.workspaces.size());
    for (const arrival& planned : make_arrivals(plan))
    {
        sent_call record;
        record.workspace = planned.workspace;
        record.route = planned.route;
        record.at_s = planned.at_s;
        record.done_s = planned.at_s + 0.010;
        record.attempts = 1;
        const bool disturbed = planned.at_s >= 10.0 && planned.at_s < 22.0;
        const std::size_t one_in = planned.workspace == 0 ? 2 : 4;
        const std::size_t number = sent[planned.workspace]++;
        record.succeeded = !disturbed || number % one_in == 0;
        record.status = record.succeeded ? 200 : 503;
        records.push_back(record);
    }
    return records;
}

TEST(figures, match_a_known_run)
{
    auto plan = two_workspaces();
    plan.poisson = false;
    const auto records = partly_served_run(plan);
    const auto figures =
        compute_figures(plan, records, {{"deep", records.size() * 2, 0, 0, 0}});
    EXPECT_NEAR(figures.goodput_before, 100.0, 1.0);
    EXPECT_NEAR(figures.goodput_during, 45.0, 1.0);
    EXPECT_NEAR(figures.recovery_s, 2.0, 0.3);
    EXPECT_EQ(figures.deepest_attempts, 2.0);
    // Of 45 successful calls per second, the fair share of the small workspace
    // is all of its 20; it has 5.
    EXPECT_EQ(figures.worst_workspace, "small");
    EXPECT_NEAR(figures.worst_served, 0.25, 0.02);
    EXPECT_NEAR(figures.latency_p50_ms, 10.0, 0.5);
    EXPECT_NEAR(
        static_cast<double>(figures.refused_inside_rate), 12 * 55.0, 10.0);
    EXPECT_EQ(figures.rate_refused_inside_rate, 0U);
    {
        SCOPED_TRACE("latencies above 10 s are recorded");
        auto late = records;
        for (sent_call& record : late)
        {
            record.done_s = record.at_s + 20.0;
        }
        const auto slow = compute_figures(plan, late, {});
        EXPECT_NEAR(slow.latency_p99_ms, 20'000.0, 600.0);
    }
    {
        SCOPED_TRACE("goodput above a workspace's rate is left out");
        auto small_rates = plan;
        small_rates.workspaces[0].rate = 10.0;
        const auto capped = compute_figures(small_rates, records, {});
        EXPECT_NEAR(capped.goodput_inside_rate, 15.0, 1.0);
    }
    {
        SCOPED_TRACE("a run without recovery has a negative recovery time");
        auto never = records;
        for (sent_call& record : never)
        {
            record.succeeded = record.succeeded && record.at_s < 10.0;
        }
        EXPECT_LT(compute_figures(plan, never, {}).recovery_s, 0.0);
        for (sent_call& record : never)
        {
            record.succeeded = false;
        }
        EXPECT_LT(compute_figures(plan, never, {}).recovery_s, 0.0);
    }
    {
        SCOPED_TRACE("the reports contain the same figures");
        const auto json = boost::json::parse(to_json(plan, figures));
        EXPECT_EQ(
            json.at("goodput_during").as_double(), figures.goodput_during);
        EXPECT_NE(to_table(plan, figures).find("small"), std::string::npos);
        const std::string csv = to_csv(figures);
        EXPECT_EQ(
            static_cast<std::size_t>(std::ranges::count(csv, '\n')),
            figures.bins.size() + 1);
        const std::string svg = to_svg(plan, figures);
        EXPECT_TRUE(svg.starts_with("<svg")) << svg.substr(0, 40);
        EXPECT_EQ(svg.find("nan"), std::string::npos);
    }
}

} // namespace
} // namespace cyclamenhold
