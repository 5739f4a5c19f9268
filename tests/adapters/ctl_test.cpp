#include "ctl.hpp"

#include "adapters/fake_operators_api.hpp"
#include "core/request/request_tables.hpp"

#include <cstdio>
#include <fstream>
#include <sstream>

#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;
using testing::HasSubstr;
using testing::Not;

constexpr std::string_view fleet_secret = "0123456789abcdef";
constexpr const char* plan_reply =
    R"({"plan":"T0KEN","base_revision":4,"diff":["+ workspace school"]})";

struct ctl_result
{
    exit_code code = exit_code::success;
    std::string out;
    std::string errors;
};

ctl_result run(std::vector<std::string> words, const std::string& node)
{
    words.insert(words.end(), {"--node", node, "--timeout-ms", "2000"});
    std::ostringstream out;
    std::ostringstream errors;
    const exit_code code = run_ctl(words, out, errors);
    return {code, out.str(), errors.str()};
}

std::string file_with(const std::string& name, std::string_view text)
{
    std::string path = testing::TempDir() + "cyclamen_ctl_" + name;
    std::ofstream(path) << text;
    return path;
}

// A node that returns the same plan for any intent and confirms only this plan.
fake_reply confirming_node(const fake_request& request)
{
    if (request.target == "/v1/intents")
    {
        return {200, plan_reply};
    }
    if (request.target == "/v1/plans/confirm")
    {
        return request.body == R"({"plan":"T0KEN"})"
                   ? fake_reply{200, R"({"revision":5})"}
                   : fake_reply{422, R"({"message":"no such plan"})"};
    }
    return {404, ""};
}

json::object operation_in(const fake_request& request)
{
    return json::parse(request.body)
        .at("operations")
        .as_array()
        .at(0)
        .as_object();
}

TEST(ctl, plans_then_confirms_a_change)
{
    fake_operators_api node(confirming_node);
    const std::string credential =
        file_with("credential", "operators-only-123\n");
    const auto planned =
        run({"workspace", "put", "school", "--rate", "20", "--burst", "40",
             "--credential-file", credential},
            node.endpoint());
    {
        SCOPED_TRACE("the plan is shown and nothing is confirmed");
        EXPECT_EQ(planned.code, exit_code::success) << planned.errors;
        EXPECT_THAT(planned.out, HasSubstr("revision 4"));
        EXPECT_THAT(planned.out, HasSubstr("+ workspace school"));
        EXPECT_THAT(planned.out, HasSubstr("confirm T0KEN"));
        ASSERT_EQ(node.requests().size(), 1U);
        const fake_request request = node.requests()[0];
        EXPECT_EQ(request.authorization, "Bearer operators-only-123");
        EXPECT_EQ(
            operation_in(request), (json::object{
                                       {"op", "put-workspace"},
                                       {"name", "school"},
                                       {"rate", 20.0},
                                       {"burst", 40.0}}));
    }
    {
        SCOPED_TRACE("a plan given as text is confirmed");
        const auto confirmed = run({"confirm", "T0KEN"}, node.endpoint());
        EXPECT_EQ(confirmed.code, exit_code::success) << confirmed.errors;
        EXPECT_THAT(confirmed.out, HasSubstr("revision 5"));
    }
    {
        SCOPED_TRACE("a plan in a file with the node's reply is confirmed");
        const auto confirmed =
            run({"confirm", file_with("plan", plan_reply)}, node.endpoint());
        EXPECT_EQ(confirmed.code, exit_code::success) << confirmed.errors;
    }
    {
        SCOPED_TRACE("--yes plans and confirms");
        const auto both =
            run({"workspace", "remove", "school", "--yes"}, node.endpoint());
        EXPECT_EQ(both.code, exit_code::success) << both.errors;
        EXPECT_THAT(both.out, HasSubstr("revision 5"));
        EXPECT_EQ(node.requests().back().target, "/v1/plans/confirm");
    }
}

TEST(ctl, sends_operations)
{
    fake_operators_api node(confirming_node);
    {
        SCOPED_TRACE("a route with all of its fields");
        const auto planned =
            run({"route", "put", "booking", "--method", "POST", "--path-prefix",
                 "/bookings", "--service", "booking", "--priority", "critical",
                 "--never-repeat", "--retry-allowance", "3", "--deadline-ms",
                 "800"},
                node.endpoint());
        EXPECT_EQ(planned.code, exit_code::success) << planned.errors;
        EXPECT_EQ(
            operation_in(node.requests().back()),
            (json::object{
                {"op", "put-route"},
                {"name", "booking"},
                {"method", "POST"},
                {"path_prefix", "/bookings"},
                {"service", "booking"},
                {"priority", "critical"},
                {"open", false},
                {"never_repeat", true},
                {"retry_allowance", 3},
                {"deadline_ms", 800}}));
    }
    {
        SCOPED_TRACE("a file of operations is sent unchanged");
        const std::string text = R"({"operations": []})";
        EXPECT_EQ(
            run({"plan", file_with("intent", text)}, node.endpoint()).code,
            exit_code::success);
        EXPECT_EQ(node.requests().back().body, text);
    }
    {
        SCOPED_TRACE("a data centre is put and a key is withdrawn");
        EXPECT_EQ(
            run({"data-centre", "put", "brno", "--region", "moravia"},
                node.endpoint())
                .code,
            exit_code::success);
        EXPECT_EQ(
            operation_in(node.requests().back()), (json::object{
                                                      {"op", "put-data-centre"},
                                                      {"name", "brno"},
                                                      {"region", "moravia"},
                                                      {"weight", 1.0}}));
        EXPECT_EQ(
            run({"key", "withdraw", "k1"}, node.endpoint()).code,
            exit_code::success);
        EXPECT_EQ(
            operation_in(node.requests().back()),
            (json::object{{"op", "withdraw-key"}, {"id", "k1"}}));
    }
}

TEST(ctl, creates_a_key)
{
    fake_operators_api node(confirming_node);
    const std::string secret_file = file_with("fleet", fleet_secret);
    const auto added =
        run({"key", "add", "k1", "--workspace", "school", "--fleet-secret-file",
             secret_file, "--json", "--yes"},
            node.endpoint());
    ASSERT_EQ(added.code, exit_code::success) << added.errors;
    const auto position = added.out.find("cyk_k1_");
    ASSERT_NE(position, std::string::npos) << added.out;
    const std::string key =
        added.out.substr(position, added.out.find('"', position) - position);
    const fake_request request = node.requests().front();
    {
        SCOPED_TRACE("the request contains the digest and not the secret");
        EXPECT_THAT(
            request.body, Not(HasSubstr(key.substr(sizeof("cyk_k1_") - 1))));
    }
    {
        SCOPED_TRACE("the digest is that of the printed key");
        const auto digest =
            digest_of_secret(fleet_secret, key.substr(sizeof("cyk_k1_") - 1));
        std::ostringstream text;
        for (const int byte : digest)
        {
            text << "0123456789abcdef"[byte >> 4]
                 << "0123456789abcdef"[byte & 15];
        }
        EXPECT_EQ(
            operation_in(request), (json::object{
                                       {"op", "put-key"},
                                       {"id", "k1"},
                                       {"workspace", "school"},
                                       {"digest", text.str()}}));
    }
    {
        SCOPED_TRACE(
            "an id with an underscore is rejected, as its end is ambiguous");
        EXPECT_EQ(
            run({"key", "add", "k_1", "--workspace", "school",
                 "--fleet-secret-file", secret_file},
                node.endpoint())
                .code,
            exit_code::bad_usage);
    }
}

TEST(ctl, reports_refusals)
{
    {
        SCOPED_TRACE("findings are printed with their places");
        fake_operators_api node(
            [](const fake_request&)
            {
                return fake_reply{
                    422, R"({"findings":[{"place":"/operations/0/rate",)"
                         R"("message":"must be \u001bpositive"}]})"};
            });
        const auto refused =
            run({"workspace", "put", "a", "--rate", "0", "--burst", "0"},
                node.endpoint());
        EXPECT_EQ(refused.code, exit_code::refused);
        EXPECT_THAT(refused.errors, HasSubstr("/operations/0/rate"));
        EXPECT_THAT(refused.errors, HasSubstr("must be ?positive"));
    }
    {
        SCOPED_TRACE("a conflict shows the changes of the other plan");
        fake_operators_api node(
            [](const fake_request&)
            {
                return fake_reply{
                    409, R"({"message":"another change came first",)"
                         R"("changes":["+ workspace museum"]})"};
            });
        const auto refused = run({"confirm", "T0KEN"}, node.endpoint());
        EXPECT_EQ(refused.code, exit_code::refused);
        EXPECT_THAT(refused.errors, HasSubstr("another change came first"));
        EXPECT_THAT(refused.errors, HasSubstr("+ workspace museum"));
    }
    {
        SCOPED_TRACE("an unavailable platform leaves the outcome unknown");
        fake_operators_api node(
            [](const fake_request&)
            {
                return fake_reply{503, R"({"message":"platform is away"})"};
            });
        const auto unknown = run({"confirm", "T0KEN"}, node.endpoint());
        EXPECT_EQ(unknown.code, exit_code::not_reached);
        EXPECT_THAT(unknown.errors, HasSubstr("not known"));
    }
    {
        SCOPED_TRACE("a lost reply leaves the outcome unknown");
        fake_operators_api node(
            [](const fake_request&)
            {
                return fake_reply{0, "", true};
            });
        const auto unknown = run({"confirm", "T0KEN"}, node.endpoint());
        EXPECT_EQ(unknown.code, exit_code::not_reached);
        EXPECT_THAT(unknown.errors, HasSubstr("not known"));
    }
    {
        SCOPED_TRACE("a node that does not run cannot be reached");
        std::string endpoint;
        {
            endpoint = fake_operators_api(confirming_node).endpoint();
        }
        EXPECT_EQ(run({"status"}, endpoint).code, exit_code::not_reached);
    }
}

TEST(ctl, reports_bad_usage)
{
    for (const auto& words : std::vector<std::vector<std::string>>{
             {},
             {"dance"},
             {"workspace"},
             {"workspace", "put"},
             {"workspace", "put", "a"},
             {"workspace", "put", "a", "--rate", "x", "--burst", "1"},
             {"workspace", "put", "a", "b", "--rate", "1", "--burst", "1"},
             {"status", "--yes"},
             {"status", "--colour"},
             {"route", "put", "r", "--path-prefix", "/", "--service", "s",
              "--priority", "top"},
             {"plan", "/no/such/file"},
             {"status", "--credential-file", "/no/such/file"}})
    {
        SCOPED_TRACE(testing::PrintToString(words));
        const auto result = run(words, "127.0.0.1:1");
        EXPECT_EQ(result.code, exit_code::bad_usage);
        EXPECT_FALSE(result.errors.empty());
    }
    {
        SCOPED_TRACE("help and version need no node");
        std::ostringstream out;
        std::ostringstream errors;
        EXPECT_EQ(run_ctl({"--help"}, out, errors), exit_code::success);
        EXPECT_THAT(out.str(), HasSubstr("key withdraw ID"));
        EXPECT_THAT(out.str(), Not(HasSubstr("--words")));
        EXPECT_EQ(run_ctl({"--version"}, out, errors), exit_code::success);
    }
}

TEST(ctl, prints_replies_as_text_and_json)
{
    constexpr const char* status =
        R"({"revision":5,"data_centres":[{"name":"brno","behind":0},)"
        R"({"name":"olomouc","behind":2}]})";
    fake_operators_api node(
        [](const fake_request& request)
        {
            return request.target == "/v1/status" ? fake_reply{200, status}
                                                  : fake_reply{404, ""};
        });
    EXPECT_EQ(
        run({"status"}, node.endpoint()).out,
        "revision: 5\ndata_centres:\n  - name=brno  behind=0\n"
        "  - name=olomouc  behind=2\n");
    EXPECT_EQ(
        run({"status", "--json"}, node.endpoint()).out,
        std::string(status) + '\n');
}

} // namespace
} // namespace cyclamenhold
