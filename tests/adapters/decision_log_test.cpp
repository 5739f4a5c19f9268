#include "adapters/decision_log.hpp"

#include <cstdio>
#include <fstream>

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

// A decision log that writes to a new file; lines() parses the file.
struct decision_log_file
{
    explicit decision_log_file(const std::string& name)
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
    event refused;
    refused.kind = event_kind::request_refused;
    refused.trace = {1, 2};
    refused.request_id = std::move(request);
    refused.detail = "overloaded, not-run; route lookup, admitted share 0.50, "
                     "failed share 0.80 of 12.0 ended";
    return refused;
}

TEST(decision_log, refusal_line_has_request_id)
{
    decision_log_file written("cyclamen_decision_log_refusal");
    log_decision(written.decisions, written.log, refusal_of("ab12"));
    const auto lines = written.lines();
    ASSERT_EQ(lines.size(), 1);
    EXPECT_EQ(lines[0].at("message"), "request-refused");
    EXPECT_EQ(lines[0].at("request"), "ab12");
    EXPECT_EQ(
        lines[0].at("detail"),
        "overloaded, not-run; route lookup, admitted share 0.50, "
        "failed share 0.80 of 12.0 ended");
}

TEST(decision_log, limits_request_lines_per_second)
{
    decision_log_file written("cyclamen_decision_log_many");
    written.decisions.max_lines_per_second = 10;
    for (int i = 0; i < 100; ++i)
    {
        log_decision(
            written.decisions, written.log, refusal_of(std::to_string(i)));
    }
    {
        SCOPED_TRACE("lines per second are limited");
        // Up to 21, since a second may end during the loop.
        EXPECT_GE(written.lines().size(), 10);
        EXPECT_LE(written.lines().size(), 21);
    }
    {
        SCOPED_TRACE("events that are not about requests are not limited");
        event unavailable;
        unavailable.kind = event_kind::platform_unavailable;
        log_decision(written.decisions, written.log, unavailable);
        EXPECT_EQ(written.lines().back().at("message"), "platform-unavailable");
    }
    {
        SCOPED_TRACE("the next second logs the number of suppressed lines");
        written.decisions.second_started -= 1s;
        log_decision(written.decisions, written.log, refusal_of("later"));
        const auto lines = written.lines();
        const auto& count = lines[lines.size() - 2];
        EXPECT_EQ(count.at("message"), "log-lines-left-out");
        EXPECT_GE(count.at("count").to_number<int>(), 80);
        EXPECT_EQ(lines.back().at("request"), "later");
    }
}

TEST(decision_log, routine_events_are_not_logged)
{
    decision_log_file written("cyclamen_decision_log_routine");
    event ended = refusal_of("cd34");
    ended.kind = event_kind::attempt_ended;
    ended.is_routine = true;
    log_decision(written.decisions, written.log, ended);
    EXPECT_TRUE(written.lines().empty());
}

} // namespace
} // namespace cyclamenhold
