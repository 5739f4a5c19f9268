#include "adapters/settings.hpp"

#include "adapters/secrets.hpp"

#include <algorithm>
#include <fstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

const std::string complete_settings = R"({
  // The node on the first host.
  "name": "brno-1", "data_centre": "brno", "region": "moravia",
  "listen": {
    "callers": "0.0.0.0:7000", "upstream": "127.0.0.1:7100",
    "peers": "10.0.0.1:7200", "operators": "10.0.0.1:7300",
  },
  "fleet_secret": "0123456789abcdef",
  "operator_credential": "fedcba9876543210",
  "platform": "10.0.9.1:8000", /* given by the platform's owners */
  "seeds": ["10.0.0.2:7200"],
  "limits": {"header_timeout_ms": 2500},
  "log": {"level": "debug", "file": "node.log"}
})";

// Places of the findings for a settings text.
std::vector<std::string> places_in(const std::string& text)
{
    std::vector<std::string> places;
    for (const auto& [place, message] : parse_settings(text).found)
    {
        places.push_back(place);
    }
    return places;
}

std::string
replaced(std::string text, std::string_view from, std::string_view to)
{
    const auto position = text.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return text.replace(position, from.size(), to);
}

TEST(settings, complete_file_is_parsed)
{
    SCOPED_TRACE("a complete file with comments");
    const auto [settings, found] = parse_settings(complete_settings);
    ASSERT_TRUE(found.empty()) << to_string(found);
    {
        SCOPED_TRACE("values in the file are set");
        EXPECT_EQ(settings.name, "brno-1");
        EXPECT_EQ(to_string(settings.listen.callers), "0.0.0.0:7000");
        EXPECT_EQ(
            settings.limits.header_timeout,
            std::chrono::seconds(2) + std::chrono::milliseconds(500));
        EXPECT_EQ(settings.log.level, log_level::debug);
        ASSERT_EQ(settings.seeds.size(), 1U);
        EXPECT_EQ(to_string(settings.seeds[0]), "10.0.0.2:7200");
    }
    {
        SCOPED_TRACE("other settings have their defaults");
        EXPECT_EQ(settings.request_threads, 2U);
        EXPECT_EQ(settings.limits.max_header_bytes, 16U * 1024);
        EXPECT_EQ(
            host_id_of(advertised_endpoint(settings)),
            parse_host_id("10.0.0.1:7200"));
    }
}

TEST(settings, all_findings_are_reported)
{
    {
        SCOPED_TRACE("an empty object lacks every required setting");
        EXPECT_THAT(
            places_in("{}"),
            testing::UnorderedElementsAre(
                "/name", "/data_centre", "/region", "/listen/callers",
                "/listen/upstream", "/listen/peers", "/listen/operators",
                "/platform", "/fleet_secret_file",
                "/operator_credential_file"));
    }
    {
        SCOPED_TRACE("several errors are reported at once, by JSON pointer");
        std::string text = replaced(complete_settings, "\"brno-1\"", "7");
        text = replaced(text, "127.0.0.1:7100", "10.0.0.1:7100");
        text = replaced(text, "10.0.0.2:7200", "ten:7200");
        text = replaced(text, "2500", "-1");
        text = replaced(text, "\"debug\"", "\"loud\"");
        text = replaced(text, "\"log\"", "\"a/b\": 1, \"log\"");
        EXPECT_THAT(
            places_in(text),
            testing::UnorderedElementsAre(
                "/name", "/listen/upstream", "/seeds/0",
                "/limits/header_timeout_ms", "/log/level", "/a~1b"));
    }
}

TEST(settings, invalid_values)
{
    struct invalid_value
    {
        const char* from;
        const char* to;
        const char* place;
    };
    for (const auto& [from, to, place] : std::vector<invalid_value>{
             {"2500", "9", "/limits/header_timeout_ms"},
             {"2500", "2.5", "/limits/header_timeout_ms"},
             {"2500", "\"2500\"", "/limits/header_timeout_ms"},
             {"2500", "1e30", "/limits/header_timeout_ms"},
             {"{\"header_timeout_ms\": 2500}", "5", "/limits"},
             {"[\"10.0.0.2:7200\"]", "\"10.0.0.2:7200\"", "/seeds"},
             {"10.0.0.2:7200", "10.0.0.2:0", "/seeds/0"},
             {"10.0.9.1:8000", "10.0.9.1:0", "/platform"},
             {"10.0.9.1:8000", "platform:8000", "/platform"},
             {"10.0.0.1:7200", "0.0.0.0:7200", "/advertise"},
             {"10.0.0.1:7300", "10.0.0.1:7200", "/listen/operators"},
             {"\"fleet_secret\"",
              "\"fleet_secret_file\": \"x\", "
              "\"fleet_secret\"",
              "/fleet_secret"},
             {"\"limits\"",
              "\"membership\": {\"probe_timeout_ms\": 900}, "
              "\"limits\"",
              "/membership/probe_timeout_ms"}})
    {
        SCOPED_TRACE(to);
        EXPECT_THAT(
            places_in(replaced(complete_settings, from, to)),
            testing::ElementsAre(place));
    }
}

TEST(settings, fractions_and_choices)
{
    const auto with = [](const std::string& more)
    {
        return replaced(complete_settings, "\"limits\"", more + ", \"limits\"");
    };
    {
        SCOPED_TRACE(
            "fractions are accepted for settings in seconds or requests");
        const auto [settings, found] = parse_settings(
            with(R"("rates":{"window_s":2.5},"retries":{"fleet_slack":47})"));
        ASSERT_TRUE(found.empty()) << to_string(found);
        EXPECT_EQ(settings.rates.window_seconds, 2.5);
        EXPECT_EQ(settings.retries.fleet_slack, 47.0);
    }
    {
        SCOPED_TRACE("numbers out of range or in strings are rejected");
        EXPECT_EQ(
            places_in(with(
                R"("rates":{"window_s":-1},"retries":{"fleet_slack":"x"})")),
            (std::vector<std::string>{
                "/rates/window_s", "/retries/fleet_slack"}));
    }
    {
        SCOPED_TRACE("unknown choices and wrong item types are rejected");
        EXPECT_EQ(
            places_in(with(R"("interface":"odd","data_centres":[5])")),
            (std::vector<std::string>{"/interface", "/data_centres/0"}));
    }
}

TEST(settings, malformed_json)
{
    {
        SCOPED_TRACE("a syntax error has a line and a column as its place");
        EXPECT_THAT(
            places_in("{\n  \"name\": nil\n}"),
            testing::ElementsAre("line 2, column 11"));
    }
    for (const char* text : {"", "{", "{} {}", "[1", "{\"a\": \"\xff\"}"})
    {
        SCOPED_TRACE(text);
        EXPECT_EQ(places_in(text).size(), 1U);
    }
    {
        SCOPED_TRACE(
            "a root that is not an object has the empty pointer as its place");
        EXPECT_THAT(places_in("[]"), testing::ElementsAre(""));
    }
}

TEST(settings, secrets_are_resolved)
{
    const std::string path = testing::TempDir() + "cyclamen_secret_test";
    findings found;
    {
        SCOPED_TRACE("read from a file, without the trailing line break");
        std::ofstream(path) << "0123456789abcdef\n";
        EXPECT_EQ(
            resolve_secret("", path, "/fleet_secret", found),
            "0123456789abcdef");
        EXPECT_TRUE(found.empty());
    }
    {
        SCOPED_TRACE("given directly");
        EXPECT_EQ(
            resolve_secret("abcdef0123456789", "", "/fleet_secret", found),
            "abcdef0123456789");
        EXPECT_TRUE(found.empty());
    }
    {
        SCOPED_TRACE(
            "a secret that is too short or a missing file is a finding");
        std::ofstream(path) << "short";
        EXPECT_EQ(resolve_secret("", path, "/fleet_secret", found), "");
        std::remove(path.c_str());
        EXPECT_EQ(resolve_secret("", path, "/fleet_secret", found), "");
        ASSERT_EQ(found.size(), 2U);
        EXPECT_EQ(found[0].place, "/fleet_secret_file");
    }
}

} // namespace
} // namespace cyclamenhold
