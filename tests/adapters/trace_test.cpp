#include "trace.hpp"

#include "adapters/fake_operators_api.hpp"
#include "core/events/event_json.hpp"
#include "trace_arguments.hpp"

#include <sstream>

#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

using testing::HasSubstr;

constexpr std::uint64_t start_ms = 1'700'000'000'000;
const trace_id some_trace{7, 9};

struct trace_result
{
    exit_code code = exit_code::success;
    std::string out;
    std::string errors;
};

trace_result run(std::vector<std::string> words)
{
    words.insert(words.end(), {"--timeout-ms", "2000"});
    std::ostringstream out;
    std::ostringstream errors;
    const exit_code code = run_trace(words, out, errors);
    return {code, out.str(), errors.str()};
}

// A node with an event at each given number of milliseconds after start_ms. It
// keeps the last two events and returns one per page.
struct fake_node
{
    std::string name;
    host_id host;
    event_ring ring;

    fake_node(
        std::string node_name, std::uint16_t port,
        const std::vector<std::uint64_t>& offsets_ms)
        : name(std::move(node_name)), host(make_host_id(0x7f000001, port))
    {
        ring.capacity = 2;
        for (const std::uint64_t offset_ms : offsets_ms)
        {
            event what;
            what.kind = event_kind::gate_started;
            what.trace = some_trace;
            what.detail = "\x1b[2J";
            add_event(
                ring, {make_hybrid_time(start_ms + offset_ms), host, what});
        }
    }

    [[nodiscard]] fake_reply
    answer(const fake_request& request, const std::string& members) const
    {
        if (request.target == "/v1/status")
        {
            return {200, R"({"members":[)" + members + "]}"};
        }
        auto [query, found] = read_event_query(request.target);
        EXPECT_TRUE(found.empty()) << to_string(found);
        query.limit = 1;
        const auto [records, truncated] = select_events(ring, query);
        return {
            200, write_event_page(
                     {host, name, ring.overwritten, truncated, records})};
    }
};

TEST(trace, merges_events_of_all_nodes)
{
    const fake_node first("brno-1", 1001, {0, 30});
    const fake_node second("brno-2", 1002, {5, 10, 20});
    fake_operators_api second_api(
        [&second](const fake_request& request)
        {
            return second.answer(request, "");
        });
    const std::string member =
        R"({"operators":")" + second_api.endpoint() + R"("})";
    fake_operators_api first_api(
        [&](const fake_request& request)
        {
            return first.answer(request, member);
        });
    {
        SCOPED_TRACE(
            "events of a member in the first node's status are merged");
        const auto [code, out, errors] = run(
            {"--node", first_api.endpoint(), "--trace", to_string(some_trace)});
        EXPECT_EQ(code, exit_code::success) << errors;
        std::vector<std::string> names;
        std::istringstream lines(out);
        for (std::string line; std::getline(lines, line);)
        {
            names.push_back(line.substr(line.find("brno"), 6));
        }
        EXPECT_EQ(
            names,
            (std::vector<std::string>{"brno-1", "brno-2", "brno-2", "brno-1"}));
        EXPECT_THAT(out, HasSubstr("   +0.030  brno-1"));
        EXPECT_THAT(out, HasSubstr("?[2J"));
        EXPECT_THAT(errors, HasSubstr("has overwritten 1 older events"));
    }
    {
        SCOPED_TRACE("--no-discover reads only the given nodes");
        const auto [code, out, errors] =
            run({"--node", first_api.endpoint(), "--no-discover", "--json"});
        EXPECT_EQ(code, exit_code::success) << errors;
        const auto value = boost::json::parse(out);
        EXPECT_EQ(value.at("events").as_array().size(), 2U);
        EXPECT_EQ(value.at("nodes").as_array().size(), 1U);
    }
    {
        SCOPED_TRACE("--since and --until select the events of an interval");
        const auto [code, out, errors] = run(
            {"--node", first_api.endpoint() + ',' + second_api.endpoint(),
             "--since", "2023-11-14T22:13:20.007Z", "--until",
             "2023-11-14T22:13:20.020Z", "--json"});
        EXPECT_EQ(code, exit_code::success) << errors;
        EXPECT_EQ(boost::json::parse(out).at("events").as_array().size(), 2U);
    }
}

TEST(trace, reports_nodes_without_events)
{
    const fake_node first("brno-1", 1001, {0});
    fake_operators_api first_api(
        [&first](const fake_request& request)
        {
            return first.answer(request, "");
        });
    fake_operators_api broken_api(
        [](const fake_request&)
        {
            return fake_reply{200, R"({"events":[{}]})"};
        });
    fake_operators_api forbidding_api(
        [](const fake_request&)
        {
            return fake_reply{401, ""};
        });
    std::string absent;
    {
        absent = fake_operators_api(
                     [](const fake_request&)
                     {
                         return fake_reply{};
                     })
                     .endpoint();
    }
    {
        SCOPED_TRACE("they are reported next to the events of the others");
        const auto [code, out, errors] = run(
            {"--node", first_api.endpoint(), "--node", broken_api.endpoint(),
             "--node", forbidding_api.endpoint(), "--node", absent});
        EXPECT_EQ(code, exit_code::refused);
        EXPECT_THAT(out, HasSubstr("brno-1"));
        EXPECT_THAT(
            errors,
            HasSubstr("missing: " + broken_api.endpoint() + ": sent malf"));
        EXPECT_THAT(
            errors, HasSubstr(
                        "missing: " + forbidding_api.endpoint() +
                        ": answered with status 401"));
        EXPECT_THAT(errors, HasSubstr("missing: " + absent));
    }
    {
        SCOPED_TRACE("the exit status is different if no node answers");
        EXPECT_EQ(run({"--node", absent}).code, exit_code::not_reached);
    }
}

TEST(trace, reports_bad_usage)
{
    for (const auto& words : std::vector<std::vector<std::string>>{
             {},
             {"--node", "brno"},
             {"--node", "127.0.0.1:1", "--trace", "7"},
             {"--node", "127.0.0.1:1", "--since", "yesterday"},
             {"--node", "127.0.0.1:1", "extra"},
             {"--settings", "/no/such/file"}})
    {
        SCOPED_TRACE(testing::PrintToString(words));
        const auto result = run(words);
        EXPECT_EQ(result.code, exit_code::bad_usage);
        EXPECT_FALSE(result.errors.empty());
    }
    EXPECT_EQ(run({"--help"}).code, exit_code::success);
}

TEST(trace, parses_wall_times)
{
    EXPECT_EQ(parse_wall_time("2023-11-14T22:13:20Z", 0), start_ms);
    EXPECT_EQ(parse_wall_time("2023-11-14T22:13:20.25Z", 0), start_ms + 250);
    EXPECT_EQ(parse_wall_time("-90", start_ms), start_ms - 90'000);
    EXPECT_EQ(parse_wall_time("-90", 5), 0U);
    for (const char* text :
         {"", "90", "2023-11-14", "2023-02-30T00:00:00Z",
          "2023-11-14T24:00:00Z", "2023-11-14T22:13:20", "-9x",
          "2023-11-14T22:13:nanZ", "1923-11-14T22:13:20Z"})
    {
        EXPECT_FALSE(parse_wall_time(text, start_ms).has_value()) << text;
    }
}

} // namespace
} // namespace cyclamenhold
