#include "platform/operator_document.hpp"

#include "core/request/request_tables.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold::platform
{
namespace
{

constexpr std::string_view secret = "fleet secret of tests";

constexpr std::string_view whole_document = R"({"version":"0000001f",
"resources":[
{"type":"routes","metadata":{"name":"status"},"spec":{"hostname":"a.example",
 "prefix":"/x/","kind":"safe","timeoutS":0.8,"targetLatencyS":1.5,"priority":2,
 "trafficSplit":[{"service":"one","weight":90},{"service":"two","weight":10}],
 "maxAttempts":2,"noAuth":false}},
{"type":"routes","metadata":{"name":"pay"},"spec":{"hostname":"b.example",
 "prefix":"/y/","kind":"unsafe","timeoutS":1,"priority":0,"service":"three",
 "maxAttempts":1}},
{"type":"routes","metadata":{"name":"map"},"spec":{"hostname":"c.example",
 "prefix":"/","kind":"upload","service":"one","noAuth":true}},
{"type":"services","metadata":{"name":"one"},
 "spec":{"healthPath":"/healthz","maxConnections":1150}},
{"type":"tenants","metadata":{"name":"school"},
 "spec":{"apiKeys":["abc","def"],"priority":1,"ratePerS":164,"burst":82}},
{"type":"tenants","metadata":{"name":"museum"},"spec":{"apiKeys":[]}},
{"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,
 "maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},
{"type":"something new","metadata":{"name":"x"},"spec":{}}]})";

TEST(operator_document, valid_document)
{
    const auto read = read_document(whole_document, secret);
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(read->revision, 0x1fU);
    ASSERT_EQ(read->routes.size(), 3U);
    {
        SCOPED_TRACE("a split route");
        const route& status = read->routes[0];
        EXPECT_EQ(status.host, "a.example");
        EXPECT_EQ(status.path_prefix, "/x/");
        EXPECT_FALSE(status.never_repeat);
        EXPECT_EQ(status.retry_allowance, 1U);
        EXPECT_EQ(status.deadline, std::chrono::milliseconds(800));
        ASSERT_EQ(status.split.size(), 2U);
        EXPECT_EQ(status.split[0].weight, 90.0);
        EXPECT_EQ(status.priority, priority_class::low);
    }
    {
        SCOPED_TRACE("an important route that runs at most once");
        const route& pay = read->routes[1];
        EXPECT_TRUE(pay.never_repeat);
        EXPECT_EQ(pay.retry_allowance, 0U);
        EXPECT_EQ(pay.priority, priority_class::high);
    }
    {
        SCOPED_TRACE("an open upload route, which serves child calls");
        const route& map = read->routes[2];
        EXPECT_TRUE(map.never_repeat);
        EXPECT_TRUE(map.open);
        EXPECT_EQ(map.priority, priority_class::critical);
    }
    {
        SCOPED_TRACE("workspaces, one of them without a rate limit");
        ASSERT_EQ(read->workspaces.size(), 2U);
        EXPECT_EQ(read->workspaces[0].rate, 164.0);
        EXPECT_FALSE(read->workspaces[0].unlimited);
        EXPECT_TRUE(read->workspaces[1].unlimited);
    }
    {
        SCOPED_TRACE("keys are stored only as digests");
        ASSERT_EQ(read->keys.size(), 2U);
        const auto tables = build_request_tables(*read);
        EXPECT_EQ(
            authenticate(tables, secret, "def"), workspace_id_of("school"));
        EXPECT_EQ(authenticate(tables, secret, "deg"), workspace_id::none);
        EXPECT_EQ(authenticate(tables, secret, ""), workspace_id::none);
    }
    EXPECT_EQ(read->services.at(0).connections, 1150U);
    EXPECT_EQ(read->limits.idle_timeout, std::chrono::milliseconds(15'000));
}

TEST(operator_document, reports_all_findings)
{
    const auto read = read_document(
        R"({"version":"zz","resources":[
{"type":"routes","metadata":{"name":"r"},"spec":{"prefix":"x","kind":"odd"}},
{"type":"tenants","metadata":{},"spec":{"apiKeys":[5]}}, 7]})",
        secret);
    ASSERT_FALSE(read.ok());
    const std::string text(read.status().message());
    for (const char* place :
         {"/version", "/resources/0/spec/prefix", "/resources/0/spec/kind",
          "/resources/0/spec/service", "/resources/1/metadata/name",
          "/resources/1/spec/apiKeys", "/resources/2"})
    {
        EXPECT_NE(text.find(place), std::string::npos) << place << text;
    }
}

// A document whose downloads were unknown to the reader was rejected as a
// whole, and no node of the fleet had a configuration.
TEST(operator_document, downloads_may_be_repeated)
{
    const auto read = read_document(
        R"({"version":"00000002","resources":[
{"type":"routes","metadata":{"name":"plans"},"spec":{"hostname":"a.example",
 "prefix":"/x/","kind":"download","service":"drawings","maxAttempts":3}}]})",
        secret);
    ASSERT_TRUE(read.ok()) << read.status();
    ASSERT_EQ(read->routes.size(), 1U);
    EXPECT_FALSE(read->routes[0].never_repeat);
    EXPECT_EQ(read->routes[0].retry_allowance, 2U);
}

TEST(operator_document, truncated_document_is_rejected)
{
    for (const std::size_t size : {0, 1, 40, 400})
    {
        EXPECT_FALSE(read_document(whole_document.substr(0, size), secret).ok())
            << size;
    }
}

TEST(operator_document, host_takes_precedence_over_prefix)
{
    const auto read = read_document(whole_document, secret);
    ASSERT_TRUE(read.ok());
    const auto tables = build_request_tables(*read);
    const auto* const found =
        find_route(tables, "a.example:80", "GET", "/x/1?q=/y/");
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->settings.name, "status");
    EXPECT_EQ(find_route(tables, "b.example", "GET", "/x/1"), nullptr);
    EXPECT_EQ(find_route(tables, "d.example", "GET", "/x/1"), nullptr);
    {
        SCOPED_TRACE("a split draws services by weight");
        random_source random(3);
        int first = 0;
        for (int i = 0; i < 10'000; ++i)
        {
            first +=
                draw_service(*found, random) == service_id_of("one") ? 1 : 0;
        }
        EXPECT_NEAR(first, 9'000, 120);
    }
}

} // namespace
} // namespace cyclamenhold::platform
