#include "adapters/clock.hpp"
#include "adapters/http_client.hpp"
#include "announcer.hpp"
#include "control_port.hpp"
#include "upstream_server.hpp"
#include "work.hpp"

#include "adapters/json_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <gtest/gtest.h>
#include <xxhash.h>

#include <functional>
#include <optional>

namespace cyclamenhold
{
namespace
{
namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

const auto any_port = tcp::endpoint(asio::ip::address_v4::loopback(), 0);

upstream_settings quick_settings()
{
    upstream_settings settings;
    settings.listen = any_port;
    settings.control = any_port;
    settings.service_time = 1ms;
    settings.distribution = time_distribution::fixed;
    settings.crash = crash_kind::close;
    settings.refuse_time = 200ms;
    return settings;
}

// Upstreams and their callers on one context, driven by the test's thread.
struct upstream_fixture
{
    explicit upstream_fixture(const upstream_settings& settings)
        : upstream(std::make_shared<upstream_state>(context, settings)),
          listening(*start_upstream_server(upstream)),
          control(*start_control_port(upstream)),
          pool(context.get_executor(), listening, 100),
          control_pool(context.get_executor(), control, 4)
    {
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

    // Starts a call; the result appears in the returned place.
    std::shared_ptr<std::optional<http_result>>
    start(http_pool& to, http_call call)
    {
        auto place = std::make_shared<std::optional<http_result>>();
        asio::co_spawn(
            context, http_send(to, std::move(call)),
            [place](const std::exception_ptr&, http_result result)
            {
                *place = std::move(result);
            });
        return place;
    }

    http_result send(http_pool& to, http_call call)
    {
        const auto place = start(to, std::move(call));
        EXPECT_TRUE(run_until(
            [&]
            {
                return place->has_value();
            }));
        return place->value_or(http_result{});
    }

    http_result get(const std::string& target)
    {
        http_call call;
        call.target = target;
        return send(pool, call);
    }

    http_result post(const std::string& target, std::string body)
    {
        http_call call;
        call.method = "POST";
        call.target = target;
        call.body = std::move(body);
        return send(pool, call);
    }

    void set_faults(const std::string& body)
    {
        http_call call;
        call.method = "PUT";
        call.target = "/v1/faults";
        call.body = body;
        EXPECT_EQ(send(control_pool, call).http_status, 200U) << body;
    }

    asio::io_context context{1};
    std::shared_ptr<upstream_state> upstream;
    tcp::endpoint listening;
    tcp::endpoint control;
    http_pool pool;
    http_pool control_pool;
};

TEST(standin_upstream, echoes_and_streams)
{
    upstream_fixture fixture(quick_settings());
    {
        SCOPED_TRACE("a small body comes back with its checksum");
        const auto result = fixture.post("/stock/check?marker=m1", "hello");
        EXPECT_EQ(result.http_status, 200U);
        EXPECT_EQ(result.body, "hello");
        EXPECT_EQ(
            header_value(result.headers, "x-body-checksum"),
            checksum_text(XXH3_64bits("hello", 5)));
    }
    {
        SCOPED_TRACE("large bodies both ways");
        constexpr std::size_t size = 8 * 1024 * 1024 + 17;
        const std::string body(size, 'q');
        const auto result = fixture.post(
            "/stock/scan?reply_bytes=" + std::to_string(size), body);
        EXPECT_EQ(result.status, http_call_status::answered);
        EXPECT_EQ(result.body_bytes, size);
        EXPECT_EQ(
            header_value(result.headers, "X-Body-Checksum"),
            checksum_text(result.body_hash));
        EXPECT_EQ(
            header_value(result.headers, "X-Request-Checksum"),
            checksum_text(XXH3_64bits(body.data(), body.size())));
    }
    {
        SCOPED_TRACE(
            "the control port reports the requests that ran and that arrived");
        http_call call;
        call.target = "/v1/ran";
        const auto ran =
            json::parse(fixture.send(fixture.control_pool, call).body);
        ASSERT_EQ(ran.as_array().size(), 2U);
        EXPECT_EQ(ran.at(0).at("marker").as_string(), "m1");
        EXPECT_EQ(ran.at(0).at("bytes").to_number<int>(), 5);
        EXPECT_FALSE(ran.at(0).at("aborted").as_bool());
        call.target = "/v1/received";
        const auto received = fixture.send(fixture.control_pool, call).body;
        EXPECT_NE(
            received.find("POST /stock/check?marker=m1"), std::string::npos);
    }
}

TEST(standin_upstream, slots_queue_and_shedding)
{
    auto settings = quick_settings();
    settings.slots = 1;
    settings.queue = 1;
    settings.service_time = 50ms;
    upstream_fixture fixture(settings);
    std::vector<std::shared_ptr<std::optional<http_result>>> calls;
    http_call call;
    calls.reserve(3);
    for (int index = 0; index < 3; ++index)
    {
        calls.push_back(fixture.start(fixture.pool, call));
    }
    ASSERT_TRUE(fixture.run_until(
        [&]
        {
            return std::ranges::all_of(
                calls,
                [](const auto& place)
                {
                    return place->has_value();
                });
        }));
    const auto shed = std::ranges::count_if(
        calls,
        [](const auto& place)
        {
            return (*place)->http_status == 503;
        });
    EXPECT_EQ(shed, 1);
    EXPECT_EQ(fixture.upstream->counts.started, 2U);
    EXPECT_EQ(fixture.upstream->counts.shed, 1U);
}

TEST(standin_upstream, a_caller_that_hangs_up_or_runs_out_of_time)
{
    auto settings = quick_settings();
    settings.service_time = 10s;
    upstream_fixture fixture(settings);
    {
        SCOPED_TRACE("hanging up stops the work");
        http_call call;
        call.timeout = 50ms;
        const auto result = fixture.send(fixture.pool, call);
        EXPECT_EQ(result.status, http_call_status::timed_out);
        EXPECT_TRUE(fixture.run_until(
            [&]
            {
                return fixture.upstream->counts.aborted == 1;
            }));
        EXPECT_EQ(in_flight(*fixture.upstream), 0U);
        EXPECT_TRUE(fixture.upstream->ran.front()->aborted);
    }
    {
        SCOPED_TRACE("the deadline stops the work");
        http_call call;
        call.headers.push_back({"Cyclamen-Deadline-Ms", "30"});
        EXPECT_EQ(fixture.send(fixture.pool, call).http_status, 504U);
        EXPECT_EQ(fixture.upstream->counts.aborted, 2U);
    }
}

TEST(standin_upstream, faults)
{
    upstream_fixture fixture(quick_settings());
    EXPECT_EQ(fixture.get("/a").http_status, 200U);
    {
        SCOPED_TRACE("open connections go silent, new ones work");
        fixture.set_faults(R"({"silent":true})");
        http_call call;
        call.timeout = 200ms;
        const auto silent = fixture.send(fixture.pool, call);
        EXPECT_EQ(silent.status, http_call_status::timed_out);
        EXPECT_EQ(fixture.get("/a").http_status, 200U);
    }
    {
        SCOPED_TRACE("health lies");
        EXPECT_EQ(fixture.get("/health").http_status, 200U);
        fixture.set_faults(R"({"lie":true})");
        EXPECT_EQ(fixture.get("/health").http_status, 503U);
    }
    {
        SCOPED_TRACE("a share is shed");
        fixture.set_faults(R"({"lie":false,"shed_share":1})");
        EXPECT_EQ(fixture.get("/a").http_status, 503U);
        fixture.set_faults(R"({"shed_share":0})");
    }
    {
        SCOPED_TRACE("a poisoned request drops every connection for a while");
        const auto result =
            fixture.post("/a", std::string("x") + std::string(poison_marker));
        EXPECT_EQ(result.status, http_call_status::broken);
        EXPECT_NE(fixture.get("/a").status, http_call_status::answered);
        EXPECT_TRUE(fixture.run_until(
            [&]
            {
                return fixture.get("/a").http_status == 200U;
            }));
    }
}

TEST(standin_upstream, announces_calls_and_leaves_through_its_node)
{
    // A node's loopback port that records the requests that it receives.
    std::vector<json_request> received_requests;
    auto settings = quick_settings();
    settings.stop_time = 2s;
    upstream_fixture fixture(settings);
    const auto node = start_json_server(
        fixture.context.get_executor(), any_port,
        [&](json_request request) -> asio::awaitable<json_reply>
        {
            received_requests.push_back(std::move(request));
            co_return json_reply{200, "{}", false};
        });
    ASSERT_TRUE(node.ok());
    fixture.upstream->settings.node = *node;
    asio::co_spawn(
        fixture.context, announce_upstream(fixture.upstream, fixture.listening),
        asio::detached);
    const auto has_received = [&](const std::string& target)
    {
        return std::ranges::any_of(
            received_requests,
            [&](const json_request& request)
            {
                return request.target == target;
            });
    };
    ASSERT_TRUE(fixture.run_until(
        [&]
        {
            return has_received("/v1/upstream/announce");
        }));
    const auto announced = json::parse(received_requests.front().body);
    EXPECT_EQ(
        announced.at("endpoint").as_string(), to_string(fixture.listening));
    EXPECT_EQ(announced.at("slots").to_number<int>(), 100);
    {
        SCOPED_TRACE("a child call goes through the node");
        const auto result =
            fixture.get("/a?calls=/payments/charge,/stock/check&marker=m");
        EXPECT_EQ(result.http_status, 200U);
        EXPECT_TRUE(has_received("/payments/charge?marker=m"));
        EXPECT_TRUE(has_received("/stock/check?marker=m"));
    }
    {
        SCOPED_TRACE("a stop drains, leaves and ends");
        asio::co_spawn(
            fixture.context, stop_upstream(fixture.upstream, fixture.listening),
            asio::detached);
        fixture.run_until(
            [&]
            {
                return fixture.context.stopped();
            });
        EXPECT_TRUE(has_received("/v1/upstream/drain"));
        EXPECT_TRUE(has_received("/v1/upstream/leave"));
        EXPECT_TRUE(fixture.context.stopped());
    }
}

} // namespace
} // namespace cyclamenhold
