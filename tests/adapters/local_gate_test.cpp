// The gate of a running node in front of an upstream on loopback.
#include "adapters/clock.hpp"
#include "adapters/local_gate.hpp"

#include <boost/beast/http.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenhold
{
namespace
{

namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

// A gate and its upstream, which answers each request with its target, except
// for `/hang`, which gets no answer, `/overdue`, which gets a 504, and
// `/crash`, which ends it.
struct gate_and_upstream
{
    gate_and_upstream()
    {
        services.record = [](const event&) {};
        gate.on_crash = [](const std::vector<std::uint64_t>&) {};
        gate.on_suspect_success = [](std::uint64_t) {};
        gate.on_leaving = [](std::uint64_t) {};
        asio::co_spawn(io, accept(), asio::detached);
    }

    asio::awaitable<void> accept()
    {
        for (;;)
        {
            auto [error, socket] = co_await acceptor.async_accept(as_result);
            if (error)
            {
                co_return;
            }
            sockets.push_back(std::make_shared<tcp::socket>(std::move(socket)));
            asio::co_spawn(io, serve(sockets.back()), asio::detached);
        }
    }

    void crash()
    {
        acceptor.close();
        for (const auto& socket : sockets)
        {
            socket->close();
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        boost::beast::flat_buffer buffer;
        for (;;)
        {
            http::request<http::string_body> request;
            const auto [error, size] =
                co_await http::async_read(*socket, buffer, request, as_result);
            if (error)
            {
                co_return;
            }
            received.emplace_back(request.target());
            if (request.target() == "/crash")
            {
                crash();
            }
            if (request.target() == "/crash" || request.target() == "/hang")
            {
                co_return;
            }
            http::response<http::string_body> reply;
            if (request.target() == "/overdue")
            {
                reply.result(http::status::gateway_timeout);
            }
            reply.body() = request.target();
            reply.prepare_payload();
            co_await http::async_write(*socket, reply, as_result);
        }
    }

    void announce(const std::string& service, std::uint32_t slots)
    {
        upstream_record record;
        record.service = service;
        record.state = upstream_state::serving;
        record.slots = slots;
        record.connections = 100;
        set_upstream(
            gate, record,
            {acceptor.local_endpoint(), "i-" + service, ++incarnation,
             service_id_of(service)});
    }

    exchange_ptr make_work(const std::string& target, service_id service)
    {
        auto work = std::make_shared<exchange>(io.get_executor(), 4, 64);
        work->head.method = "POST";
        work->head.target = target;
        work->context.service = service;
        work->context.deadline = now() + 5s;
        work->body.try_send(boost::system::error_code(), body_chunk{"", true});
        return work;
    }

    // Runs the gate until the exchange has its first event or is overdue.
    reply_event wait_for_reply(exchange& work)
    {
        reply_event first;
        bool done = false;
        const time_point limit = now() + 10s;
        while (!done && now() < limit)
        {
            tick_gate(gate);
            io.run_one_for(10ms);
            work.reply.try_receive(
                [&](const boost::system::error_code&, const reply_event& event)
                {
                    first = event;
                    done = true;
                });
        }
        return first;
    }

    asio::io_context io{1};
    tcp::acceptor acceptor{io, {asio::ip::address_v4::loopback(), 0}};
    node_services services;
    local_gate gate{services};
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    std::vector<std::string> received;
    std::uint64_t incarnation = 0;
};

// Callers of a tenant at its limit left while their requests waited for a
// token. The requests were offered to the gate all the same, and each took a
// slot for good, until the gate started nothing more for any tenant (CONFIG).
TEST(local_gate, cancelled_requests_take_no_slots)
{
    gate_and_upstream node;
    node.announce("orders", 4);
    const service_id orders = service_id_of("orders");
    {
        SCOPED_TRACE("requests whose callers have left before the offer");
        for (int number = 0; number < 20; ++number)
        {
            const auto work = node.make_work("/left", orders);
            cancel(*work);
            run_at_gate(node.gate, work);
        }
        EXPECT_EQ(report_of(node.gate).in_flight, 0U);
        EXPECT_EQ(count_requests(node.gate), 0U);
    }
    {
        SCOPED_TRACE("a request that stays is answered");
        const auto work = node.make_work("/stays", orders);
        run_at_gate(node.gate, work);
        const auto reply = node.wait_for_reply(*work);
        ASSERT_TRUE(reply.head);
        EXPECT_EQ(reply.head->status, 200U);
        EXPECT_EQ(node.received, std::vector<std::string>{"/stays"});
    }
}

// The address of an upstream that had ended went to one of another service. A
// request that the gate had just started for the former one ran there (ROUTE).
TEST(local_gate, a_started_request_is_not_sent_to_another_service)
{
    gate_and_upstream node;
    node.announce("orders", 4);
    const auto work = node.make_work("/order", service_id_of("orders"));
    run_at_gate(node.gate, work);
    set_address(
        node.gate.pool, {node.acceptor.local_endpoint(), "i-payments", 2,
                         service_id_of("payments")});
    const auto reply = node.wait_for_reply(*work);
    ASSERT_TRUE(reply.failure);
    EXPECT_EQ(reply.failure->reason, refusal::no_upstream);
    EXPECT_EQ(reply.failure->result, outcome::not_run);
    EXPECT_TRUE(node.received.empty());
    EXPECT_EQ(report_of(node.gate).in_flight, 0U);
}

// A quarantined request that another host sent, or that had waited at the gate
// since before its quarantine, crashed one more upstream (BUDGET).
TEST(local_gate, a_quarantined_request_is_not_started)
{
    gate_and_upstream node;
    node.announce("orders", 1);
    auto view = std::make_unique<quarantine_view>();
    view->quarantined = {7};
    node.services.path.quarantine.publish(std::move(view));
    const auto work = node.make_work("/order", service_id_of("orders"));
    work->context.digest = 7;
    run_at_gate(node.gate, work);
    const auto reply = node.wait_for_reply(*work);
    ASSERT_TRUE(reply.failure);
    EXPECT_EQ(reply.failure->reason, refusal::quarantined);
    EXPECT_EQ(reply.failure->result, outcome::not_run);
    {
        SCOPED_TRACE("another one runs in its slot");
        const auto other = node.make_work("/other", service_id_of("orders"));
        run_at_gate(node.gate, other);
        const auto answered = node.wait_for_reply(*other);
        ASSERT_TRUE(answered.head);
        EXPECT_EQ(node.received, std::vector<std::string>{"/other"});
    }
}

// Frequent requests were in flight in each crash of an upstream and became
// suspects with the one that caused it, which hid the cause (BUDGET), slowed
// them down, and had them refused after another crash (DENIED).
TEST(local_gate, requests_that_have_just_succeeded_are_no_suspects)
{
    gate_and_upstream node;
    node.announce("orders", 4);
    std::optional<std::vector<std::uint64_t>> suspects;
    node.gate.on_crash = [&](const std::vector<std::uint64_t>& digests)
    {
        suspects = digests;
    };
    const auto run = [&](const std::string& target, std::uint64_t digest)
    {
        auto work = node.make_work(target, service_id_of("orders"));
        work->context.digest = digest;
        run_at_gate(node.gate, work);
        return work;
    };
    EXPECT_TRUE(node.wait_for_reply(*run("/frequent", 7)).head);
    const auto frequent = run("/hang", 7);
    const auto rare = run("/hang", 8);
    while (node.received.size() < 3)
    {
        node.io.run_one_for(10ms);
    }
    const auto cause = run("/crash", 9);
    EXPECT_TRUE(node.wait_for_reply(*cause).failure);
    const time_point limit = now() + 10s;
    while (!suspects && now() < limit)
    {
        node.io.run_one_for(10ms);
    }
    ASSERT_TRUE(suspects);
    std::ranges::sort(*suspects);
    EXPECT_EQ(*suspects, (std::vector<std::uint64_t>{8, 9}));
}

// An upstream answered a request that crashes upstreams with 504, as its time
// was over. That counted as a success: all nodes dropped the crashes counted so
// far, and it was no suspect there for 10 s (BUDGET).
TEST(local_gate, a_server_error_clears_no_suspect)
{
    gate_and_upstream node;
    node.announce("orders", 4);
    auto view = std::make_unique<quarantine_view>();
    view->suspects = {7, 8};
    node.services.path.quarantine.publish(std::move(view));
    std::vector<std::uint64_t> cleared;
    node.gate.on_suspect_success = [&](std::uint64_t digest)
    {
        cleared.push_back(digest);
    };
    const auto status_of = [&](const std::string& target, std::uint64_t digest)
    {
        const auto work = node.make_work(target, service_id_of("orders"));
        work->context.digest = digest;
        run_at_gate(node.gate, work);
        const auto reply = node.wait_for_reply(*work);
        while (count_requests(node.gate) > 0)
        {
            node.io.run_one_for(10ms);
        }
        return reply.head ? reply.head->status : 0;
    };
    EXPECT_EQ(status_of("/overdue", 7), 504);
    EXPECT_EQ(status_of("/order", 8), 200);
    EXPECT_EQ(cleared, std::vector<std::uint64_t>{8});
    EXPECT_FALSE(has_succeeded(node.gate, 7));
    EXPECT_TRUE(has_succeeded(node.gate, 8));
}

// A request that crashes upstreams was in no report when its time had ended, or
// its caller had left, just before the crash. It was quarantined late or never,
// and ended one upstream after the other (BUDGET).
TEST(local_gate, requests_left_just_before_a_crash_are_suspects)
{
    gate_and_upstream node;
    node.announce("orders", 8);
    std::optional<std::vector<std::uint64_t>> suspects;
    node.gate.on_crash = [&](const std::vector<std::uint64_t>& digests)
    {
        suspects = digests;
    };
    const auto make = [&](const std::string& target, std::uint64_t digest)
    {
        auto work = node.make_work(target, service_id_of("orders"));
        work->context.digest = digest;
        return work;
    };
    const auto timed_out = make("/hang", 7);
    timed_out->context.deadline = now() + 300ms;
    const auto left = make("/hang", 8);
    run_at_gate(node.gate, timed_out);
    run_at_gate(node.gate, left);
    const time_point limit = now() + 10s;
    while (node.received.size() < 2 && now() < limit)
    {
        node.io.run_one_for(10ms);
    }
    ASSERT_EQ(node.received.size(), 2U);
    cancel(*left);
    EXPECT_TRUE(node.wait_for_reply(*timed_out).failure);
    const auto never_sent = make("/never-sent", 9);
    cancel(*never_sent);
    run_at_gate(node.gate, never_sent);
    const auto crashing = make("/crash", 10);
    run_at_gate(node.gate, crashing);
    EXPECT_TRUE(node.wait_for_reply(*crashing).failure);
    while (!suspects && now() < limit)
    {
        node.io.run_one_for(10ms);
    }
    ASSERT_TRUE(suspects);
    std::ranges::sort(*suspects);
    EXPECT_EQ(*suspects, (std::vector<std::uint64_t>{7, 8, 10}));
}

} // namespace
} // namespace cyclamenhold
