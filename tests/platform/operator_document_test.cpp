#include "platform/operator_document.hpp"

#include "core/request/request_tables.hpp"

#include <gtest/gtest.h>

#include <algorithm>

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

// True if `read` has a finding at `place`.
bool has_finding(const configuration& read, std::string_view place)
{
    return std::ranges::any_of(
        read.unreadable,
        [place](const finding& found)
        {
            return found.place == place;
        });
}

// What cannot be read of one entry must not take the others out of service: a
// fleet that starts would have no configuration at all.
TEST(operator_document, unreadable_entries_are_contained)
{
    const auto read = read_document(
        R"({"version":"0000000a","resources":[
{"type":"routes","metadata":{"name":"r"},"spec":{"prefix":"x","kind":"odd"}},
{"type":"tenants","metadata":{},"spec":{"apiKeys":["abc"]}},
{"type":"tenants","metadata":{"name":"t"},"spec":{"apiKeys":[5,"def"]}}, 7,
{"type":"routes","metadata":{"name":"ok"},"spec":{"hostname":"a.example",
 "prefix":"/ok/","kind":"safe","service":"one"}}]})",
        secret);
    ASSERT_TRUE(read.ok()) << read.status();
    {
        SCOPED_TRACE("all findings are reported with their places");
        for (const char* place :
             {"/resources/0/spec/prefix", "/resources/0/spec/kind",
              "/resources/0/spec/service", "/resources/1/metadata/name",
              "/resources/2/spec/apiKeys/0", "/resources/3"})
        {
            EXPECT_TRUE(has_finding(*read, place)) << place;
        }
        EXPECT_EQ(read->unreadable.size(), 6U);
    }
    {
        SCOPED_TRACE("the other entries and keys hold");
        const auto tables = build_request_tables(*read);
        const auto* const found =
            find_route(tables, "a.example", "GET", "/ok/1");
        ASSERT_NE(found, nullptr);
        EXPECT_FALSE(found->settings.is_unreadable);
        EXPECT_EQ(authenticate(tables, secret, "def"), workspace_id_of("t"));
    }
    {
        SCOPED_TRACE("a workspace without a name has no valid key");
        const auto tables = build_request_tables(*read);
        EXPECT_EQ(authenticate(tables, secret, "abc"), workspace_id::none);
        EXPECT_TRUE(tables.has_unreadable_keys);
        EXPECT_TRUE(tables.has_unplaced_entries);
    }
}

// Reads a document with one route on "a.example" that has these further
// fields.
route read_one_route(const std::string& fields)
{
    const auto read = read_document(
        R"({"version":"00000003","resources":[{"type":"routes",
"metadata":{"name":"r"},"spec":{"hostname":"a.example",)" +
            fields + "}}]}",
        secret);
    EXPECT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(read->routes.size(), 1U) << fields;
    EXPECT_EQ(read->unreadable.size(), 1U) << fields;
    return read->routes.empty() ? route{} : read->routes.front();
}

TEST(operator_document, unreadable_fields_of_a_route)
{
    {
        SCOPED_TRACE("requests of an unknown kind are served, at most once");
        for (const char* kind : {R"("odd")", "7", "null", R"({"safe":1})"})
        {
            const route odd = read_one_route(
                R"("prefix":"/x/","service":"one","maxAttempts":3,"kind":)" +
                std::string(kind));
            EXPECT_TRUE(odd.never_repeat) << kind;
            EXPECT_FALSE(odd.is_unreadable) << kind;
        }
    }
    {
        SCOPED_TRACE("a route without a readable service is refused");
        for (const char* fields :
             {R"("service":5)", R"("trafficSplit":7)", R"("trafficSplit":[])",
              R"("trafficSplit":[{"service":"a","weight":1},{"service":"b"}])",
              R"("trafficSplit":[{"service":"a","weight":-1}])",
              R"("trafficSplit":[{"service":"a","weight":0}])",
              R"("trafficSplit":[{"service":"a","weight":1e999}])"})
        {
            EXPECT_TRUE(
                read_one_route(
                    R"("prefix":"/x/","kind":"safe",)" + std::string(fields))
                    .is_unreadable)
                << fields;
        }
    }
    {
        SCOPED_TRACE("a route is not opened by an unreadable noAuth");
        const route odd = read_one_route(
            R"("prefix":"/x/","kind":"safe","service":"one","noAuth":"yes")");
        EXPECT_FALSE(odd.open);
        EXPECT_TRUE(odd.is_unreadable);
    }
    {
        SCOPED_TRACE("numbers that are too large give no advantage");
        const std::string rest =
            R"("prefix":"/x/","kind":"safe","service":"a",)";
        EXPECT_EQ(
            read_one_route(rest + R"("priority":99999999999999999999)")
                .priority,
            priority_class::low);
        EXPECT_EQ(
            read_one_route(rest + R"("maxAttempts":1e300)").retry_allowance,
            0U);
        EXPECT_EQ(
            read_one_route(rest + R"("timeoutS":1e300)").deadline,
            route{}.deadline);
    }
}

TEST(operator_document, largest_rank_is_the_lowest_class)
{
    const auto read = read_document(
        R"({"version":"00000003","resources":[{"type":"routes",
"metadata":{"name":"r"},"spec":{"prefix":"/x/","kind":"safe","service":"a",
"priority":18446744073709551615}}]})",
        secret);
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->routes.at(0).priority, priority_class::low);
}

TEST(operator_document, unreadable_rate_does_not_mean_unlimited)
{
    for (const char* rate : {R"("many")", "-1", "1e999", "null", "[5]"})
    {
        const auto read = read_document(
            R"({"version":"00000003","resources":[{"type":"tenants",
"metadata":{"name":"t"},"spec":{"apiKeys":["abc"],"ratePerS":)" +
                std::string(rate) + "}}]}",
            secret);
        ASSERT_TRUE(read.ok()) << rate;
        EXPECT_FALSE(read->workspaces.at(0).unlimited) << rate;
        EXPECT_TRUE(read->workspaces.at(0).is_unreadable) << rate;
        EXPECT_TRUE(has_finding(*read, "/resources/0/spec/ratePerS")) << rate;
    }
}

TEST(operator_document, numbers_beyond_32_bits_are_not_cut)
{
    const auto read = read_document(
        R"({"version":"00000003","resources":[{"type":"services",
"metadata":{"name":"one"},"spec":{"maxConnections":4294967301}},
{"type":"limits","spec":{"maxHeaderBytes":4294967297}}]})",
        secret);
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->services.at(0).connections, 0U);
    EXPECT_EQ(read->limits.max_header_bytes, 0U);
    EXPECT_EQ(read->unreadable.size(), 2U);
}

TEST(operator_document, document_without_version_or_entries_is_rejected)
{
    for (const char* version :
         {R"("zz")", R"("00000000")", R"("1")", R"("000000001")",
          R"("+0000001")", "1", "null"})
    {
        const auto read = read_document(
            R"({"resources":[],"version":)" + std::string(version) + "}",
            secret);
        ASSERT_FALSE(read.ok()) << version;
        EXPECT_NE(read.status().message().find("/version"), std::string::npos);
    }
    const auto read =
        read_document(R"({"version":"00000001","resources":{}})", secret);
    ASSERT_FALSE(read.ok());
    EXPECT_NE(read.status().message().find("/resources"), std::string::npos);
}

TEST(operator_document, very_deep_document_is_rejected)
{
    constexpr int depth = 10'000;
    const std::string text = R"({"version":"00000001","resources":)" +
                             std::string(depth, '[') + std::string(depth, ']') +
                             "}";
    EXPECT_FALSE(read_document(text, secret).ok());
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
