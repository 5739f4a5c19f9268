// The command line tools against a real node and the stand-in platform.
#include "adapters/node_runtime.hpp"
#include "ctl.hpp"
#include "trace.hpp"

#include "platform/protocol_profile.hpp"
#include "support/running_platform.hpp"

#include <chrono>
#include <fstream>
#include <sstream>

#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

using testing::HasSubstr;

constexpr const char* credential = "operators-only-123";
constexpr auto platform_timeout = std::chrono::seconds(20);

node_settings settings_for(const ip_endpoint& platform)
{
    node_settings settings;
    settings.name = "brno-1";
    settings.data_centre = "brno";
    settings.region = "moravia";
    settings.listen = {any_port, any_port, any_port, any_port};
    settings.platform = platform;
    return settings;
}

struct tool_result
{
    exit_code code = exit_code::success;
    std::string out;
    std::string errors;
};

struct operator_console
{
    std::string node;
    std::string credential_file;

    [[nodiscard]] tool_result ctl(std::vector<std::string> words) const
    {
        words.insert(
            words.end(),
            {"--node", node, "--credential-file", credential_file});
        std::ostringstream out;
        std::ostringstream errors;
        const exit_code code = run_ctl(words, out, errors);
        return {code, out.str(), errors.str()};
    }

    // Repeats a command until it succeeds, which requires that the node has
    // reached the platform, for at most platform_timeout.
    [[nodiscard]] tool_result
    ctl_until_done(const std::vector<std::string>& words) const
    {
        const auto deadline =
            std::chrono::steady_clock::now() + platform_timeout;
        tool_result result = ctl(words);
        while (result.code != exit_code::success &&
               std::chrono::steady_clock::now() < deadline)
        {
            result = ctl(words);
        }
        return result;
    }
};

TEST(ctl_node, applies_changes_and_drains)
{
    running_platform platform;
    auto node = start_node(
        settings_for(platform.endpoint()), {"0123456789abcdef", credential},
        profile_of(interface_kind::cyclamen), {});
    ASSERT_TRUE(node.ok()) << node.status();
    const std::string credential_file =
        testing::TempDir() + "cyclamen_ctl_node_credential";
    std::ofstream(credential_file) << credential << '\n';
    const operator_console console{
        to_string(ports_of(**node).operators), credential_file};
    {
        SCOPED_TRACE("a wrong credential is refused");
        const std::string wrong_file =
            testing::TempDir() + "cyclamen_ctl_node_wrong";
        std::ofstream(wrong_file) << "not-the-credential";
        const operator_console unauthorized_console{console.node, wrong_file};
        EXPECT_EQ(
            unauthorized_console.ctl({"status"}).code, exit_code::refused);
    }
    {
        SCOPED_TRACE("a workspace is applied and shown");
        const auto put = console.ctl_until_done(
            {"workspace", "put", "school", "--rate", "20", "--burst", "40",
             "--yes"});
        EXPECT_EQ(put.code, exit_code::success) << put.errors;
        EXPECT_THAT(put.out, HasSubstr("In force as revision 1."));
        const auto shown = console.ctl({"show", "--json"});
        EXPECT_THAT(shown.out, HasSubstr("\"school\"")) << shown.errors;
    }
    {
        SCOPED_TRACE(
            "the second of two plans with one base revision conflicts");
        const auto plan_of = [&console](const char* name)
        {
            const auto planned = console.ctl(
                {"workspace", "put", name, "--rate", "1", "--burst", "1",
                 "--json"});
            EXPECT_EQ(planned.code, exit_code::success) << planned.errors;
            const auto answer = boost::json::parse(planned.out);
            return std::string(answer.at("plan").as_string().c_str());
        };
        const std::string first = plan_of("museum");
        const std::string second = plan_of("museum");
        const auto confirmed = console.ctl({"confirm", first});
        EXPECT_EQ(confirmed.code, exit_code::success) << confirmed.errors;
        const auto conflicting = console.ctl({"confirm", second});
        EXPECT_EQ(conflicting.code, exit_code::refused) << conflicting.out;
        EXPECT_THAT(conflicting.errors, HasSubstr("museum"));
        {
            SCOPED_TRACE("confirming the first plan again has the same result");
            const auto repeated = console.ctl({"confirm", first});
            EXPECT_EQ(repeated.code, exit_code::success) << repeated.errors;
            EXPECT_EQ(repeated.out, confirmed.out);
        }
    }
    {
        SCOPED_TRACE("findings of the node are printed with their places");
        const auto refused = console.ctl(
            {"workspace", "put", "bad", "--rate", "-1", "--burst", "1"});
        EXPECT_EQ(refused.code, exit_code::refused);
        EXPECT_THAT(refused.errors, HasSubstr("/operations/0/rate"));
    }
    {
        SCOPED_TRACE("the time line contains the node's events");
        std::ostringstream out;
        std::ostringstream errors;
        EXPECT_EQ(
            run_trace(
                {"--node", console.node, "--credential-file", credential_file},
                out, errors),
            exit_code::success)
            << errors.str();
        EXPECT_THAT(out.str(), HasSubstr("configuration-applied"));
    }
    {
        SCOPED_TRACE("drain requests a graceful stop, which aborts no request");
        EXPECT_EQ(console.ctl({"drain"}).code, exit_code::success);
        EXPECT_TRUE(stop_requested(**node));
        const std::atomic<bool> abort_requests{false};
        EXPECT_EQ(stop_node(**node, abort_requests).unfinished, 0U);
    }
}

} // namespace
} // namespace cyclamenhold
