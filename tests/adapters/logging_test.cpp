#include "adapters/logging.hpp"

#include <cstdio>
#include <fstream>

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

TEST(logging, line_format)
{
    {
        SCOPED_TRACE(
            "a line has the time, level, node, message and typed fields");
        EXPECT_EQ(
            format_log_line(
                1'700'000'000'123, log_level::warning, "brno-1", "link lost",
                {{"peer", "10.0.0.1:7400"},
                 {"streams", 3},
                 {"bytes", std::uint64_t{1} << 63},
                 {"share", 0.5},
                 {"planned", false}}),
            R"({"time":"2023-11-14T22:13:20.123Z","level":"warning",)"
            R"("node":"brno-1","message":"link lost",)"
            R"("peer":"10.0.0.1:7400","streams":3,)"
            R"("bytes":9223372036854775808,"share":5E-1,"planned":false})");
    }
    {
        SCOPED_TRACE(
            "any text, also malformed UTF-8, gives one line of valid JSON");
        const std::string text =
            "a\"b\\c\n\t\x01 \xc3\xa9 \xff\xc3 \xed\xa0\x80";
        const std::string line =
            format_log_line(0, log_level::info, "n", text, {});
        EXPECT_EQ(line.find('\n'), std::string::npos);
        const auto value = boost::json::parse(line);
        const std::string message(value.at("message").as_string().c_str());
        EXPECT_TRUE(
            message.starts_with("a\"b\\c\n\t\x01 \xc3\xa9 \xef\xbf\xbd"))
            << message;
    }
}

TEST(logging, file_output)
{
    const std::string path = testing::TempDir() + "cyclamen_logging_test";
    std::remove(path.c_str());
    json_log log;
    {
        SCOPED_TRACE("a default-constructed log drops its lines");
        write_log(log, log_level::error, "dropped");
    }
    ASSERT_TRUE(open_log(log, "n1", log_level::info, path).ok());
    write_log(log, log_level::debug, "too detailed");
    write_log(log, log_level::info, "first");
    write_log(log, log_level::error, "second", {{"code", 7}});
    {
        SCOPED_TRACE(
            "lines at or above the lowest level are written, in order");
        std::ifstream file(path);
        std::vector<std::string> messages;
        for (std::string line; std::getline(file, line);)
        {
            const auto value = boost::json::parse(line);
            messages.emplace_back(value.at("message").as_string().c_str());
        }
        EXPECT_EQ(messages, (std::vector<std::string>{"first", "second"}));
    }
    {
        SCOPED_TRACE("a file that cannot be opened is an error");
        EXPECT_FALSE(
            open_log(log, "n1", log_level::info, "/nowhere/at/all").ok());
    }
    std::remove(path.c_str());
}

} // namespace
} // namespace cyclamenhold
