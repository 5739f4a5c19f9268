#include "adapters/clock.hpp"
#include "adapters/http_client.hpp"
#include "adapters/json_server.hpp"
#include "adapters/platform_client.hpp"
#include "platform/store_protocol.hpp"
#include "platform_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <optional>

namespace cyclamenhold
{
namespace
{

const auto any_port =
    boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0);

// Server and client on one context, which the test's thread runs.
struct platform_fixture
{
    platform_fixture()
    {
        server = make_platform_server(context.get_executor());
        settings.endpoint = *start_platform_server(server, any_port);
        settings.max_backoff = 100ms;
        settings.codec = platform::store_codec();
        client = make_platform_connections(context.get_executor(), settings);
    }

    bool run_until(const std::function<bool()>& done, duration limit = 10s)
    {
        const time_point deadline = now() + limit;
        while (!done() && now() < deadline)
        {
            context.run_one_for(20ms);
        }
        return done();
    }

    platform_reply send(platform_call call)
    {
        std::optional<platform_reply> reply;
        platform_client_send(
            client, std::move(call),
            [&](platform_reply answer)
            {
                reply = std::move(answer);
            });
        EXPECT_FALSE(reply) << "the callback ran inside the send";
        EXPECT_TRUE(run_until(
            [&]
            {
                return reply.has_value();
            }));
        return reply.value_or(platform_reply{});
    }

    http_result http(std::string method, std::string target, std::string body)
    {
        http_pool pool(context.get_executor(), settings.endpoint, 1);
        http_call call;
        call.method = std::move(method);
        call.target = std::move(target);
        call.body = std::move(body);
        std::optional<http_result> result;
        boost::asio::co_spawn(
            context, http_send(pool, std::move(call)),
            [&](const std::exception_ptr&, http_result received)
            {
                result = std::move(received);
            });
        EXPECT_TRUE(run_until(
            [&]
            {
                return result.has_value();
            }));
        return result.value_or(http_result{});
    }

    boost::asio::io_context context{1};
    std::shared_ptr<platform_server> server;
    platform_connection_settings settings;
    std::shared_ptr<platform_connections> client;
};

platform_call
make_call(platform_operation operation, std::string key, std::string value = {})
{
    platform_call call;
    call.client = platform_client::configuration;
    call.call_id = 77;
    call.operation = operation;
    call.key = std::move(key);
    call.value = std::move(value);
    call.timeout = 500ms;
    return call;
}

// Encodes and decodes a call, as the client and the server do.
absl::StatusOr<platform_call> encode_and_decode(const platform_call& call)
{
    const auto codec = platform::store_codec();
    return codec.decode_call(codec.encode_call(call));
}

TEST(store_protocol, encodes_arbitrary_bytes)
{
    const auto codec = platform::store_codec();
    for (const std::string& value :
         {std::string(), std::string("plain"), std::string("\0\xff\"\n", 4),
          std::string(100, '\x80'), std::string("ab\x01", 3)})
    {
        SCOPED_TRACE(testing::PrintToString(value));
        auto call =
            make_call(platform_operation::compare_and_swap, "a key/%&=", value);
        call.expected_version = ~0ULL;
        call.lease = 12;
        const auto decoded = encode_and_decode(call);
        ASSERT_TRUE(decoded.ok()) << decoded.status();
        EXPECT_EQ(decoded->operation, call.operation);
        EXPECT_EQ(decoded->key, call.key);
        EXPECT_EQ(decoded->value, value);
        EXPECT_EQ(decoded->expected_version, ~0ULL);
        EXPECT_EQ(decoded->lease, 12U);
        const auto read = make_call(platform_operation::get, "a key/%&=");
        platform_reply reply;
        reply.entries.push_back({"a key/%&=", value, 9});
        reply.revision = 11;
        const auto decoded_reply =
            codec.decode_reply(read, codec.encode_reply(read, reply));
        ASSERT_TRUE(decoded_reply.ok()) << decoded_reply.status();
        ASSERT_EQ(decoded_reply->entries.size(), 1U);
        EXPECT_EQ(decoded_reply->entries[0].value, value);
        EXPECT_EQ(decoded_reply->entries[0].version, 9U);
        EXPECT_EQ(decoded_reply->revision, 11U);
    }
}

TEST(store_protocol, encodes_each_operation)
{
    {
        SCOPED_TRACE("keys in queries may contain any character");
        auto list = make_call(platform_operation::list, "a&b=c d/\xc3\xa9");
        list.after = "a&b=c d/%41";
        const auto decoded = encode_and_decode(list);
        ASSERT_TRUE(decoded.ok());
        EXPECT_EQ(decoded->operation, platform_operation::list);
        EXPECT_EQ(decoded->key, list.key);
        EXPECT_EQ(decoded->after, list.after);
    }
    {
        SCOPED_TRACE("a watch is sent with its revision and wait");
        auto watch = make_call(platform_operation::watch, "key/");
        watch.expected_version = 412;
        watch.wait = 2s;
        const auto decoded = encode_and_decode(watch);
        ASSERT_TRUE(decoded.ok());
        EXPECT_EQ(decoded->expected_version, 412U);
        EXPECT_EQ(decoded->wait, duration(2s));
    }
    {
        SCOPED_TRACE("a lease time may be a fraction of a second");
        auto grant = make_call(platform_operation::lease_grant, "");
        grant.lease_time = 1'500ms;
        const auto decoded = encode_and_decode(grant);
        ASSERT_TRUE(decoded.ok());
        EXPECT_EQ(decoded->lease_time, duration(1'500ms));
    }
    for (const auto operation :
         {platform_operation::lease_renew, platform_operation::lease_revoke})
    {
        SCOPED_TRACE(std::string(name_of(operation)));
        auto call = make_call(operation, "");
        call.lease = 77'120;
        const auto decoded = encode_and_decode(call);
        ASSERT_TRUE(decoded.ok());
        EXPECT_EQ(decoded->operation, operation);
        EXPECT_EQ(decoded->lease, 77'120U);
    }
    {
        SCOPED_TRACE("a deletion is sent with its expected version");
        auto remove = make_call(platform_operation::compare_and_delete, "k");
        remove.expected_version = 5;
        const auto decoded = encode_and_decode(remove);
        ASSERT_TRUE(decoded.ok());
        EXPECT_EQ(decoded->operation, platform_operation::compare_and_delete);
        EXPECT_EQ(decoded->key, "k");
        EXPECT_EQ(decoded->expected_version, 5U);
    }
}

TEST(store_protocol, maps_http_statuses_to_results)
{
    const auto codec = platform::store_codec();
    struct call_result
    {
        platform_operation operation;
        unsigned http_status;
        platform_status status;
    };
    for (const auto& [operation, http_status, status] :
         {call_result{platform_operation::get, 404, platform_status::not_found},
          call_result{
              platform_operation::lease_renew, 404,
              platform_status::lease_expired},
          call_result{
              platform_operation::compare_and_swap, 404,
              platform_status::lease_expired},
          call_result{
              platform_operation::watch, 410, platform_status::history_lost},
          call_result{platform_operation::get, 429, platform_status::rejected},
          call_result{platform_operation::get, 403, platform_status::rejected},
          call_result{
              platform_operation::get, 503, platform_status::unavailable}})
    {
        SCOPED_TRACE(http_status);
        const auto reply = codec.decode_reply(
            make_call(operation, "key"), {http_status, "not even JSON"});
        ASSERT_TRUE(reply.ok()) << reply.status();
        EXPECT_EQ(reply->status, status);
    }
    {
        SCOPED_TRACE("a conflict returns the current entry");
        const auto call =
            make_call(platform_operation::compare_and_swap, "key");
        const auto reply = codec.decode_reply(
            call, {412, R"({"items":[{"key":"key","value":"eA==","rev":7}]})"});
        ASSERT_TRUE(reply.ok());
        EXPECT_EQ(reply->status, platform_status::conflict);
        EXPECT_EQ(reply->entries.at(0).value, "x");
    }
    {
        SCOPED_TRACE("malformed events of other writers are skipped");
        const auto reply = codec.decode_reply(
            make_call(platform_operation::watch, "k"),
            {200, R"({"events":[5,{"key":"k1","value":"?","rev":1},)"
                  R"({"key":"k2","rev":2,"tombstone":true},)"
                  R"({"key":"k3","value":"eA==","rev":3}],"asOf":3})"});
        ASSERT_TRUE(reply.ok());
        ASSERT_EQ(reply->entries.size(), 2U);
        EXPECT_TRUE(reply->entries[0].removed);
        EXPECT_EQ(reply->entries[1].value, "x");
        EXPECT_EQ(reply->revision, 3U);
    }
    EXPECT_FALSE(
        codec
            .decode_reply(
                make_call(platform_operation::get, "k"), {200, "no JSON"})
            .ok());
}

TEST(store_protocol, rejects_malformed_calls)
{
    const auto codec = platform::store_codec();
    for (const platform_request& request :
         {platform_request{"POST", "/kv-txn", "{}"},
          platform_request{"POST", "/kv-txn", "no JSON"},
          platform_request{
              "POST", "/kv-txn",
              R"({"expect":[{"key":"a","rev":0}],)"
              R"("writes":[{"key":"a","value":"?"}]})"},
          platform_request{"POST", "/kv-lease", R"({"ttlS":"x"})"},
          platform_request{"POST", "/kv-lease", R"({"ttlS":-1})"},
          platform_request{"GET", "/other", ""}})
    {
        SCOPED_TRACE(request.target + ' ' + request.body);
        EXPECT_FALSE(codec.decode_call(request).ok());
    }
}

TEST(platform_over_http, creates_reads_and_deletes_a_value)
{
    platform_fixture platform;
    std::uint64_t version = 0;
    {
        SCOPED_TRACE("a value is created once");
        const auto call = make_call(
            platform_operation::compare_and_swap, "change/1",
            std::string("\0first", 6));
        const auto created = platform.send(call);
        ASSERT_EQ(created.status, platform_status::ok);
        EXPECT_EQ(created.client, platform_client::configuration);
        EXPECT_EQ(created.call_id, 77U);
        version = created.entries.at(0).version;
        EXPECT_EQ(platform.send(call).status, platform_status::conflict);
    }
    {
        SCOPED_TRACE("it is read and listed");
        const auto read =
            platform.send(make_call(platform_operation::get, "change/1"));
        ASSERT_EQ(read.entries.size(), 1U);
        EXPECT_EQ(read.entries[0].value, std::string("\0first", 6));
        const auto listed =
            platform.send(make_call(platform_operation::list, "change/"));
        EXPECT_EQ(listed.entries.size(), 1U);
        const auto absent =
            platform.send(make_call(platform_operation::get, "none"));
        EXPECT_EQ(absent.status, platform_status::not_found);
    }
    {
        SCOPED_TRACE("values above the limit are rejected");
        const auto reply = platform.send(make_call(
            platform_operation::compare_and_swap, "big",
            std::string(max_store_value_size + 1, 'x')));
        EXPECT_EQ(reply.status, platform_status::rejected);
    }
    {
        SCOPED_TRACE("each call was counted");
        const auto calls = platform.http("GET", "/v1/calls", "");
        EXPECT_NE(calls.body.find("\"compare-and-swap\":3"), std::string::npos)
            << calls.body;
    }
    {
        SCOPED_TRACE("a deletion needs the current version");
        auto call =
            make_call(platform_operation::compare_and_delete, "change/1");
        EXPECT_EQ(platform.send(call).status, platform_status::conflict);
        call.expected_version = version;
        EXPECT_EQ(platform.send(call).status, platform_status::ok);
    }
}

TEST(platform_over_http, a_watch_waits_for_a_change)
{
    platform_fixture platform;
    auto watch = make_call(platform_operation::watch, "key/");
    watch.wait = 5s;
    std::optional<platform_reply> watch_reply;
    platform_client_send(
        platform.client, watch,
        [&](platform_reply reply)
        {
            watch_reply = std::move(reply);
        });
    ASSERT_TRUE(platform.run_until(
        [&]
        {
            return !platform_store(*platform.server).watches.empty();
        }));
    platform.send(
        make_call(platform_operation::compare_and_swap, "key/a", "v"));
    ASSERT_TRUE(platform.run_until(
        [&]
        {
            return watch_reply.has_value();
        }));
    EXPECT_EQ(watch_reply->status, platform_status::ok);
    EXPECT_EQ(watch_reply->entries.at(0).key, "key/a");
}

TEST(platform_over_http, lease_renewal_and_expiry)
{
    platform_fixture platform;
    auto grant = make_call(platform_operation::lease_grant, "");
    grant.lease_time = 60s;
    const auto lease = platform.send(grant);
    ASSERT_EQ(lease.status, platform_status::ok);
    auto renew = make_call(platform_operation::lease_renew, "");
    renew.lease = lease.lease;
    EXPECT_EQ(platform.send(renew).status, platform_status::ok);
    platform.http("PUT", "/v1/faults", R"({"lapse_leases":true})");
    EXPECT_EQ(platform.send(renew).status, platform_status::lease_expired);
}

TEST(platform_over_http, faults)
{
    platform_fixture platform;
    const auto write =
        make_call(platform_operation::compare_and_swap, "key", "value");
    const auto read = make_call(platform_operation::get, "key");
    {
        SCOPED_TRACE("an answer is lost after the write took effect");
        platform.http("PUT", "/v1/faults", R"({"lose_next_answers":1})");
        EXPECT_EQ(platform.send(write).status, platform_status::unavailable);
        EXPECT_EQ(platform.send(read).status, platform_status::ok);
    }
    {
        SCOPED_TRACE("slow beyond the timeout");
        platform.http("PUT", "/v1/faults", R"({"slow_ms":60000})");
        EXPECT_EQ(platform.send(read).status, platform_status::unavailable);
    }
    {
        SCOPED_TRACE("the server is down, then up again");
        platform.http("PUT", "/v1/faults", R"({"slow_ms":0,"down":true})");
        EXPECT_EQ(platform.send(read).status, platform_status::unavailable);
        platform.http("PUT", "/v1/faults", R"({"down":false})");
        EXPECT_EQ(platform.send(read).status, platform_status::ok);
    }
    {
        SCOPED_TRACE("all unknown faults are reported, none is set");
        const auto reply = platform.http(
            "PUT", "/v1/faults", R"({"down":true,"odd":1,"slow_ms":"x"})");
        EXPECT_EQ(reply.http_status, 400U);
        EXPECT_NE(reply.body.find("/odd"), std::string::npos);
        EXPECT_NE(reply.body.find("/slow_ms"), std::string::npos);
        EXPECT_FALSE(platform_store(*platform.server).faults.down);
    }
}

TEST(platform_over_http, no_server_listens)
{
    platform_fixture platform;
    platform.settings.endpoint.port(1);
    platform.settings.max_pending_calls = 1;
    platform.client = make_platform_connections(
        platform.context.get_executor(), platform.settings);
    const auto read = make_call(platform_operation::get, "key");
    const time_point start = now();
    EXPECT_EQ(platform.send(read).status, platform_status::unavailable);
    EXPECT_LT(now() - start, 5s);
    int answers = 0;
    for (int call = 0; call < 3; ++call)
    {
        platform_client_send(
            platform.client, read,
            [&](const platform_reply& reply)
            {
                EXPECT_EQ(reply.status, platform_status::unavailable);
                ++answers;
            });
    }
    EXPECT_TRUE(platform.run_until(
        [&]
        {
            return answers == 3;
        }));
}

} // namespace
} // namespace cyclamenhold
