// The settings that the platform makes of the template, for bounds of different
// deployments.
#include "adapters/settings.hpp"

#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <fstream>
#include <sstream>

namespace cyclamenhold::platform
{
namespace
{

namespace json = boost::json;

// The value at a dotted path; null if there is none.
json::value look_up(const json::object& fields, std::string_view path)
{
    const json::object* object = &fields;
    while (true)
    {
        const auto dot = path.find('.');
        const auto* value = object->if_contains(
            json::string_view(path.data(), std::min(dot, path.size())));
        if (value == nullptr || dot == std::string_view::npos)
        {
            return value == nullptr ? json::value() : *value;
        }
        object = &value->as_object();
        path.remove_prefix(dot + 1);
    }
}

std::string plain(const json::value& value)
{
    return value.is_string() ? std::string(value.as_string())
           : value.is_null() ? std::string()
                             : json::serialize(value);
}

std::string
replace_all(std::string text, std::string_view from, const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
    {
        text.replace(at, from.size(), to);
    }
    return text;
}

std::string render(std::string_view text, const json::object& fields);

// A section once for each member of an object, or once with a present value.
std::string render_section(
    std::string_view inner, const json::value& value,
    const json::object& fields)
{
    if (value.is_null())
    {
        return {};
    }
    if (!value.is_object())
    {
        return render(
            replace_all(std::string(inner), "{{.}}", plain(value)), fields);
    }
    std::string out;
    std::size_t left = value.as_object().size();
    for (const auto& member : value.as_object())
    {
        std::string item(inner);
        item = replace_all(item, "{{@}}", std::string(member.key()));
        item = replace_all(item, "{{,}}", --left > 0 ? "," : "");
        out += render(item, fields);
    }
    return out;
}

std::string render(std::string_view text, const json::object& fields)
{
    std::string out;
    while (true)
    {
        const auto begin = text.find("{{");
        out += text.substr(0, begin);
        if (begin == std::string_view::npos)
        {
            return out;
        }
        const auto end = text.find("}}", begin);
        std::string name(text.substr(begin + 2, end - begin - 2));
        text.remove_prefix(end + 2);
        if (name.starts_with('#'))
        {
            name.erase(0, 1);
            const std::string close = "{{/" + name + "}}";
            const auto at = text.find(close);
            out += render_section(
                text.substr(0, at), look_up(fields, name), fields);
            text.remove_prefix(at + close.size());
            continue;
        }
        const bool as_json = name.ends_with("|json");
        const auto value =
            look_up(fields, as_json ? name.substr(0, name.size() - 5) : name);
        out += as_json ? json::serialize(value) : plain(value);
    }
}

node_settings settings_for(const json::object& bounds)
{
    std::ifstream file(CYCLAMEN_SOURCE_DIR "/platform/settings.template");
    std::stringstream text;
    text << file.rdbuf();
    const auto [settings, found] = parse_settings(render(
        text.str(),
        json::object{
            {"nodeId", "sidecar-1"},
            {"zone", "brno"},
            {"region", "moravia"},
            {"zones", {{"brno", "moravia"}, {"olomouc", "moravia"}}},
            {"service", "lookup"},
            {"ip", "10.1.0.1"},
            {"listen",
             {{"outbound", "10.1.0.1:8548"},
              {"control", "10.1.0.1:8540"},
              {"ready", "10.1.0.1:8546"}}},
            {"portRange", {{"0", 7000}}},
            {"platform", {{"address", "10.200.1.7:8545"}}},
            {"bounds", bounds}}));
    EXPECT_TRUE(found.empty()) << to_string(found);
    EXPECT_EQ(settings.data_centres.size(), 2U);
    return settings;
}

// The length of a planned stop was fixed and fitted one grace only. Where the
// platform leaves more time, the node closed requests long before its end
// (LOST); where it leaves less, the process would be killed.
TEST(settings_template, a_planned_stop_uses_the_grace_of_the_deployment)
{
    using std::chrono::duration;
    for (const double grace_s : {3.0, 6.0, 10.0, 30.0})
    {
        SCOPED_TRACE(grace_s);
        const duration<double> stop =
            stop_timeout_of(settings_for({{"graceS", grace_s}}));
        EXPECT_LT(stop, duration<double>(grace_s * 0.95));
        // Requests that end before the last sixth of the grace are not cut.
        EXPECT_GT(stop, duration<double>(grace_s * 5 / 6));
    }
}

// With a grace of 10 s requests that may outlast the stop were taken for 4.5 s
// of it, long after the platform has redirected callers (LOST).
TEST(settings_template, a_stopping_node_takes_long_requests_for_three_seconds)
{
    using std::chrono::duration;
    for (const double grace_s : {3.0, 6.0, 10.0, 30.0})
    {
        SCOPED_TRACE(grace_s);
        const auto settings = settings_for({{"graceS", grace_s}});
        const duration<double> taken = acceptance_time_of(settings);
        EXPECT_LT(taken, duration<double>(3.0));
        EXPECT_LE(2 * taken, stop_timeout_of(settings));
        EXPECT_GT(taken, duration<double>(std::min(2.5, grace_s * 0.4)));
    }
}

// The same for the time within which a removed key must have no effect
// (CONFIG).
TEST(settings_template, keys_are_trusted_for_less_than_their_revocation_takes)
{
    using std::chrono::duration;
    for (const double revocation_s : {2.0, 5.0, 8.0})
    {
        SCOPED_TRACE(revocation_s);
        const duration<double> trusted =
            max_key_staleness_of(settings_for({{"revokeS", revocation_s}}));
        EXPECT_LT(trusted, duration<double>(revocation_s * 0.95));
        EXPECT_GT(trusted, duration<double>(revocation_s * 0.8));
    }
}

TEST(settings_template, cold_upstreams_have_the_tolerance_of_the_deployment)
{
    const auto settings = settings_for({{"coldOver", 1.5}, {"coldSlack", 8}});
    EXPECT_EQ(settings.upstream.cold_overage, 1.5);
    EXPECT_EQ(settings.upstream.cold_slack, 8.0);
}

TEST(settings_template, bounds_that_are_not_given)
{
    const auto settings = settings_for({});
    EXPECT_EQ(settings.upstream.cold_overage, 1.0);
    EXPECT_EQ(settings.upstream.cold_slack, 0.0);
    EXPECT_GT(stop_timeout_of(settings).count(), 0);
    EXPECT_GT(max_key_staleness_of(settings).count(), 0);
}

} // namespace
} // namespace cyclamenhold::platform
