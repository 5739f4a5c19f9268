#include "adapters/decision_log.hpp"

#include <cstdio>
#include <fstream>

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

// A log in a file of its own, read back as JSON.
struct written_decisions
{
    explicit written_decisions(const std::string& name)
        : path(testing::TempDir() + name)
    {
        std::remove(path.c_str());
        EXPECT_TRUE(open_log(log, "n1", log_level::info, path).ok());
    }

    std::vector<boost::json::object> lines() const
    {
        std::vector<boost::json::object> found;
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);)
        {
            found.push_back(boost::json::parse(line).as_object());
        }
        return found;
    }

    std::string path;
    json_log log;
    decision_log decisions;
};

event refusal_of(std::string request)
{
    event seen;
    seen.kind = event_kind::request_refused;
    seen.trace = {1, 2};
    seen.request_id = std::move(request);
    seen.detail = "overloaded, not-run; route lookup, 0.50 let in";
    return seen;
}

TEST(decision_log, a_refusal_can_be_found_by_its_request)
{
    written_decisions written("cyclamen_decision_log_refusal");
    log_decision(written.decisions, written.log, refusal_of("ab12"));
    const auto lines = written.lines();
    ASSERT_EQ(lines.size(), 1);
    EXPECT_EQ(lines[0].at("message"), "request-refused");
    EXPECT_EQ(lines[0].at("request"), "ab12");
    EXPECT_EQ(
        lines[0].at("detail"),
        "overloaded, not-run; route lookup, 0.50 let in");
}

TEST(decision_log, many_refusals_at_once)
{
    written_decisions written("cyclamen_decision_log_many");
    written.decisions.max_lines_per_second = 10;
    for (int i = 0; i < 100; ++i)
    {
        log_decision(
            written.decisions, written.log, refusal_of(std::to_string(i)));
    }
    {
        SCOPED_TRACE("only so many lines are written in a second");
        // A second may end while this runs.
        EXPECT_GE(written.lines().size(), 10);
        EXPECT_LE(written.lines().size(), 21);
    }
    {
        SCOPED_TRACE("what a node believes is written all the same");
        event lost;
        lost.kind = event_kind::platform_unavailable;
        log_decision(written.decisions, written.log, lost);
        EXPECT_EQ(written.lines().back().at("message"), "platform-unavailable");
    }
    {
        SCOPED_TRACE("the next second tells how many were left out");
        written.decisions.second_started -= 1s;
        log_decision(written.decisions, written.log, refusal_of("later"));
        const auto lines = written.lines();
        const auto& count = lines[lines.size() - 2];
        EXPECT_EQ(count.at("message"), "log-lines-left-out");
        EXPECT_GE(count.at("count").to_number<int>(), 80);
        EXPECT_EQ(lines.back().at("request"), "later");
    }
}

TEST(decision_log, steps_that_went_well)
{
    written_decisions written("cyclamen_decision_log_routine");
    event ended = refusal_of("cd34");
    ended.kind = event_kind::attempt_ended;
    ended.is_routine = true;
    log_decision(written.decisions, written.log, ended);
    EXPECT_TRUE(written.lines().empty());
}

} // namespace
} // namespace cyclamenhold
