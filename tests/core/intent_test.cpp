#include "core/intent/configuration_json.hpp"
#include "core/intent/operations.hpp"
#include "core/intent/plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cyclamenhold
{
namespace
{

const std::string digest_text(64, 'a');

std::string operations_of(const std::string& list)
{
    return R"({"operations":[)" + list + "]}";
}

std::string put_workspace(const std::string& name, int rate)
{
    return R"({"op":"put-workspace","name":")" + name + R"(","rate":)" +
           std::to_string(rate) + R"(,"burst":20})";
}

std::string put_key(const std::string& id, const std::string& workspace)
{
    return R"({"op":"put-key","id":")" + id + R"(","workspace":")" + workspace +
           R"(","digest":")" + digest_text + R"("})";
}

configuration apply_all(const configuration& base, const std::string& list)
{
    const auto parsed = parse_operations(operations_of(list));
    EXPECT_EQ(to_string(parsed.found), "");
    configuration changed = base;
    EXPECT_EQ(to_string(apply_operations(changed, parsed.operations)), "");
    return changed;
}

std::vector<std::string> places_of(const findings& found)
{
    std::vector<std::string> places;
    for (const auto& item : found)
    {
        places.push_back(item.place);
    }
    return places;
}

findings findings_of(const configuration& base, const std::string& list)
{
    return plan_change(base, operations_of(list), "id", 0).found;
}

const configuration& sample()
{
    static const configuration value = apply_all(
        {}, put_workspace("school", 10) + "," + put_key("k1", "school") + "," +
                R"({"op":"put-route","name":"book","method":"POST",
                    "path_prefix":"/book","service":"booking",
                    "priority":"critical","never_repeat":true},
                   {"op":"put-data-centre","name":"brno","region":"moravia",
                    "weight":2.5})");
    return value;
}

// Operations and configurations are stored as JSON. A field that is lost or
// changed on the way would change the fleet's configuration.
TEST(intent, operations_are_read_and_applied)
{
    EXPECT_EQ(sample().workspaces.at(0).rate, 10.0);
    EXPECT_EQ(sample().routes.at(0).priority, priority_class::critical);
    EXPECT_TRUE(sample().routes.at(0).never_repeat);
    EXPECT_EQ(sample().routes.at(0).retry_allowance, 2);
    EXPECT_EQ(sample().data_centres.at(0).weight, 2.5);
    {
        SCOPED_TRACE(
            "operations are unchanged after a round trip through JSON");
        const auto parsed = parse_operations(operations_of(
            put_workspace("a", 1) + "," + put_key("k", "a") +
            R"(,{"op":"withdraw-key","id":"k"})"));
        const auto again = parse_operations(to_json(parsed.operations));
        EXPECT_EQ(to_string(again.found), "");
        EXPECT_EQ(to_json(again.operations), to_json(parsed.operations));
    }
    {
        SCOPED_TRACE("a configuration is unchanged after a round trip");
        findings found;
        const auto again = parse_configuration(to_json(sample()), found);
        ASSERT_TRUE(again.has_value());
        EXPECT_EQ(*again, sample());
    }
}

// All faults of a text must be reported at once, each with its JSON pointer,
// and malformed input must not crash the parser.
TEST(intent, all_findings_are_reported_at_once)
{
    {
        SCOPED_TRACE("findings of the fields");
        const auto parsed = parse_operations(operations_of(
            R"({"op":"put-workspace","name":"a b","rate":0,"burst":1e300},
               {"op":"fly"}, 7,
               {"op":"put-key","id":"a_b","workspace":"x","digest":"0g"},
               {"op":"remove-route","name":"r","fly/er":1})"));
        EXPECT_EQ(
            places_of(parsed.found),
            (std::vector<std::string>{
                "/operations/0/name", "/operations/0/rate",
                "/operations/0/burst", "/operations/1/op", "/operations/2",
                "/operations/3/id", "/operations/3/digest",
                "/operations/4/fly~1er"}));
    }
    {
        SCOPED_TRACE("findings of the operations on a configuration");
        EXPECT_EQ(
            places_of(findings_of(
                sample(),
                R"({"op":"remove-workspace","name":"school"},
                   {"op":"remove-route","name":"none"},
                   {"op":"withdraw-key","id":"none"},)" +
                    put_key("k2", "nowhere"))),
            (std::vector<std::string>{
                "/operations/0/name", "/operations/1/name", "/operations/2/id",
                "/operations/3/workspace"}));
    }
    {
        SCOPED_TRACE("findings of a text with an invalid structure");
        EXPECT_EQ(parse_operations("{").found.size(), 1U);
        EXPECT_EQ(parse_operations("[]").found.size(), 1U);
        EXPECT_EQ(parse_operations(R"({"operations":[]})").found.size(), 1U);
        const std::string deep(100'000, '[');
        EXPECT_FALSE(parse_operations(deep).found.empty());
    }
}

// Putting a withdrawn key again must not make it valid.
TEST(intent, a_withdrawn_key_stays_withdrawn)
{
    const auto withdrawn =
        apply_all(sample(), R"({"op":"withdraw-key","id":"k1"})");
    EXPECT_TRUE(withdrawn.keys.at(0).withdrawn);
    EXPECT_EQ(
        newly_withdrawn_keys(sample(), withdrawn),
        std::vector<std::string>{"k1"});
    EXPECT_TRUE(newly_withdrawn_keys(withdrawn, withdrawn).empty());
    EXPECT_EQ(
        places_of(findings_of(withdrawn, put_key("k1", "school"))),
        std::vector<std::string>{"/operations/0/id"});
}

// Nodes store no plans. A plan that was altered, signed with another secret or
// has expired must be refused.
TEST(intent, plans_are_authenticated)
{
    const auto planned = plan_change(
        sample(), operations_of(put_workspace("school", 30)), "op-1", 1000);
    ASSERT_EQ(to_string(planned.found), "");
    EXPECT_EQ(
        planned.diff, (std::vector<std::string>{
                          "- workspace school: rate 10, burst 20",
                          "+ workspace school: rate 30, burst 20"}));
    const std::string token = sign_plan(planned.new_plan, "secret");
    {
        SCOPED_TRACE("any node with the secret can verify it");
        const auto opened = verify_plan(token, "secret", 2000);
        ASSERT_TRUE(opened.ok());
        EXPECT_EQ(opened->operation_id, "op-1");
        EXPECT_EQ(opened->operations, planned.new_plan.operations);
    }
    {
        SCOPED_TRACE("an expired plan is refused");
        EXPECT_EQ(
            verify_plan(token, "secret", 1000 + plan_lifetime_ms)
                .status()
                .code(),
            absl::StatusCode::kDeadlineExceeded);
    }
    {
        SCOPED_TRACE("an altered plan is refused");
        EXPECT_FALSE(verify_plan(token, "other", 2000).ok());
        for (std::size_t place = 0; place < token.size(); place += 7)
        {
            std::string altered = token;
            altered[place] = altered[place] == 'A' ? 'B' : 'A';
            EXPECT_FALSE(verify_plan(altered, "secret", 2000).ok()) << place;
        }
        EXPECT_FALSE(verify_plan("", "secret", 2000).ok());
        EXPECT_FALSE(verify_plan(".", "secret", 2000).ok());
    }
}

} // namespace
} // namespace cyclamenhold
