#include "core/request/call.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

const time_point start_time{1000s};
constexpr const char* fleet_secret = "fleet secret of tests";

// A node with one keyed and one open route to a service of three upstreams.
struct entry_node
{
    entry_node()
    {
        path.fleet_secret = fleet_secret;
        path.treats_keyless_as_calls = true;
        path.retries_node_refusals = true;
        configuration current;
        current.revision = 1;
        current.workspaces.push_back({"school", 100.0, 100.0, true});
        current.keys.push_back(
            {"", "school", digest_of_secret(fleet_secret, "key"), false});
        for (const bool open : {false, true})
        {
            route entry;
            entry.name = open ? "calls" : "bookings";
            entry.path_prefix = '/' + entry.name + '/';
            entry.service = "shop";
            entry.open = open;
            entry.retry_allowance = 1;
            current.routes.push_back(entry);
        }
        path.tables.publish(
            std::make_unique<request_tables>(build_request_tables(current)));
        std::vector<upstream_location> locations;
        for (std::uint16_t i = 1; i <= 3; ++i)
        {
            locations.push_back(
                {make_host_id(0x0a000001, i),
                 1,
                 data_centre_id::none,
                 {"shop", upstream_state::serving, 10, 100, 1}});
        }
        path.routing.publish(std::make_unique<routing_view>(build_routing_view(
            locations, data_centre_id::none, routing_view{})));
    }

    call_step enter(call_state& call, bool keyed, time_point now = start_time)
    {
        call_request request;
        request.method = "GET";
        request.target = keyed ? "/bookings/1" : "/calls/1";
        if (keyed)
        {
            request.key = "key";
        }
        call.id = ++last_id;
        return begin_call(path, call, request, now, random);
    }

    request_path path;
    random_source random{1};
    std::uint64_t last_id = 0;
};

TEST(entry, refuses_new_requests_before_a_stop)
{
    entry_node node;
    call_state before;
    EXPECT_EQ(node.enter(before, true).kind, call_step_kind::attempt);
    node.path.refuses_new = true;
    call_state after;
    const call_step step = node.enter(after, true);
    EXPECT_EQ(step.kind, call_step_kind::refuse);
    EXPECT_EQ(step.reason, refusal::draining);
    EXPECT_EQ(http_status_of(step.reason, step.result), 503U);
}

TEST(entry, stale_keys_are_refused)
{
    entry_node node;
    node.path.keys_fresh_until = (start_time + 4s).time_since_epoch().count();
    call_state fresh;
    EXPECT_EQ(node.enter(fresh, true).kind, call_step_kind::attempt);
    {
        SCOPED_TRACE("stale keys get 503, not 401");
        call_state stale;
        const call_step step = node.enter(stale, true, start_time + 5s);
        EXPECT_EQ(step.kind, call_step_kind::refuse);
        EXPECT_EQ(http_status_of(step.reason, step.result), 503U);
    }
    {
        SCOPED_TRACE("calls without a key are still accepted");
        call_state call;
        EXPECT_EQ(
            node.enter(call, false, start_time + 5s).kind,
            call_step_kind::attempt);
        EXPECT_EQ(call.context.depth, 1U);
    }
}

TEST(entry, node_refusals_are_retried)
{
    entry_node node;
    call_state call;
    auto step = node.enter(call, true);
    attempt_result node_refusal;
    node_refusal.status = attempt_status::refused;
    node_refusal.reason = refusal::overloaded;
    node_refusal.result = outcome::not_run;
    {
        SCOPED_TRACE("other nodes are tried without using the allowance");
        for (int i = 0; i < 2; ++i)
        {
            ASSERT_EQ(step.kind, call_step_kind::attempt);
            step = call_on_attempt(
                node.path, call, node_refusal, start_time, node.random);
        }
        EXPECT_EQ(call.context.retry_allowance, 1U);
    }
    {
        SCOPED_TRACE(
            "then the allowance is used, and the refusal reports not-run");
        while (step.kind == call_step_kind::attempt)
        {
            step = call_on_attempt(
                node.path, call, node_refusal, start_time, node.random);
        }
        EXPECT_EQ(http_status_of(step.reason, step.result), 503U);
        EXPECT_LE(call.attempts, 4U);
    }
}

TEST(entry, reports_not_run_only_for_requests_that_did_not_run)
{
    for (const auto& [reason, name] : enum_names<refusal>::table)
    {
        SCOPED_TRACE(std::string(name));
        EXPECT_FALSE(
            is_not_run_status(http_status_of(reason, outcome::unknown)));
        EXPECT_FALSE(is_not_run_status(http_status_of(reason, outcome::ran)));
    }
    EXPECT_EQ(
        http_status_of(refusal::deadline_exceeded, outcome::not_run), 503U);
}

} // namespace
} // namespace cyclamenhold
