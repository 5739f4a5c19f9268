#include "core/request/call.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

const time_point start_time{1000s};
constexpr const char* fleet_secret = "fleet secret of tests";

// One keyed and one open route to a service, and one workspace.
configuration whole_configuration()
{
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
    return current;
}

// A node with a service of three upstreams.
struct entry_node
{
    explicit entry_node(const configuration& current = whole_configuration())
    {
        path.fleet_secret = fleet_secret;
        path.treats_keyless_as_calls = true;
        path.retries_node_refusals = true;
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
        return enter(
            call, keyed ? "/bookings/1" : "/calls/1",
            keyed ? std::optional<std::string>("key") : std::nullopt, now);
    }

    call_step enter(
        call_state& call, std::string target, std::optional<std::string> key,
        time_point now = start_time,
        std::optional<std::chrono::milliseconds> timeout = std::nullopt)
    {
        call_request request;
        request.timeout = timeout;
        request.method = "GET";
        request.target = std::move(target);
        request.key = std::move(key);
        call.id = ++last_id;
        return begin_call(path, call, request, now, random);
    }

    request_path path;
    random_source random{1};
    std::uint64_t last_id = 0;
};

// A stopping node took requests for half of the stop, whatever time they had,
// and cut those that lasted longer than the other half (LOST).
TEST(entry, a_stopping_node_refuses_what_may_outlast_it)
{
    entry_node node;
    call_state before;
    EXPECT_EQ(node.enter(before, true).kind, call_step_kind::attempt);
    node.path.latest_deadline = (start_time + 2s).time_since_epoch().count();
    const auto enter = [&](bool keyed, std::chrono::milliseconds timeout)
    {
        call_state call;
        return node.enter(
            call, keyed ? "/bookings/1" : "/calls/1",
            keyed ? std::optional<std::string>("key") : std::nullopt,
            start_time, timeout);
    };
    for (const bool keyed : {true, false})
    {
        SCOPED_TRACE(keyed ? "a request with a key" : "a call");
        EXPECT_EQ(enter(keyed, 2000ms).kind, call_step_kind::attempt);
        const call_step step = enter(keyed, 2001ms);
        EXPECT_EQ(step.kind, call_step_kind::refuse);
        EXPECT_EQ(step.reason, refusal::draining);
        EXPECT_EQ(step.result, outcome::not_run);
        EXPECT_EQ(http_status_of(step.reason, step.result), 503U);
    }
    {
        SCOPED_TRACE("without a timeout the route's limit counts");
        call_state call;
        EXPECT_EQ(node.enter(call, true).reason, refusal::draining);
    }
    {
        SCOPED_TRACE("at the latest deadline nothing is taken");
        node.path.latest_deadline = start_time.time_since_epoch().count();
        EXPECT_EQ(enter(true, 1ms).reason, refusal::draining);
    }
}

// Requests were quarantined by path and workspace. After one had crashed
// upstreams, proper ones with another body were refused for minutes (DENIED).
TEST(entry, quarantine_of_a_request_spares_those_with_another_body)
{
    entry_node node;
    const auto order = [&](call_state& call, std::string_view body)
    {
        call_request request;
        request.method = "POST";
        request.target = "/bookings/1";
        request.key = "key";
        request.body_prefix = body;
        return begin_call(node.path, call, request, start_time, node.random);
    };
    call_state crashing;
    (void)order(crashing, "crashing");
    auto view = std::make_unique<quarantine_view>();
    view->quarantined = {crashing.context.digest};
    node.path.quarantine.publish(std::move(view));
    {
        SCOPED_TRACE("it is refused when it comes again");
        call_state again;
        EXPECT_EQ(order(again, "crashing").reason, refusal::quarantined);
    }
    for (const char* body : {"", "proper", "crashing, too"})
    {
        SCOPED_TRACE(body);
        call_state other;
        EXPECT_EQ(order(other, body).kind, call_step_kind::attempt);
    }
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

// The HTTP status of the first step; 0 if the request is sent to an upstream.
unsigned status_of(
    entry_node& node, const std::string& target,
    const std::optional<std::string>& key)
{
    call_state call;
    const call_step step = node.enter(call, target, key);
    return step.kind == call_step_kind::attempt
               ? 0
               : http_status_of(step.reason, step.result);
}

// A part of the document that this node cannot read neither opens a route nor
// turns a proper request away for good, and the rest is served.
TEST(entry, unreadable_parts_of_a_document)
{
    {
        SCOPED_TRACE("requests of an unreadable route are refused");
        configuration current = whole_configuration();
        current.routes[0].is_unreadable = true;
        entry_node node(current);
        EXPECT_EQ(status_of(node, "/bookings/1", "key"), 503U);
        EXPECT_EQ(status_of(node, "/calls/1", std::nullopt), 0U);
    }
    {
        SCOPED_TRACE("a shorter prefix does not serve them instead");
        configuration current = whole_configuration();
        current.routes[1].path_prefix = "/";
        current.routes[0].is_unreadable = true;
        entry_node node(current);
        EXPECT_EQ(status_of(node, "/bookings/1", "key"), 503U);
        EXPECT_EQ(status_of(node, "/other", std::nullopt), 0U);
    }
    {
        SCOPED_TRACE("an unknown prefix may be any of its host's");
        configuration current = whole_configuration();
        current.routes[0].host = "a.example";
        current.routes.push_back(current.routes[0]);
        current.routes.back().path_prefix.clear();
        current.routes.back().is_unreadable = true;
        const auto tables = build_request_tables(current);
        for (const char* path : {"/bookings/1", "/other"})
        {
            const auto* const found =
                find_route(tables, "a.example", "GET", path);
            ASSERT_NE(found, nullptr) << path;
            EXPECT_TRUE(found->settings.is_unreadable) << path;
        }
        const auto* const other = find_route(tables, "b", "GET", "/calls/1");
        ASSERT_NE(other, nullptr);
        EXPECT_FALSE(other->settings.is_unreadable);
    }
    {
        SCOPED_TRACE("requests that may belong to an unreadable entry get 503");
        configuration current = whole_configuration();
        current.has_unplaced_entries = true;
        current.has_unreadable_keys = true;
        entry_node node(current);
        EXPECT_EQ(status_of(node, "/other/1", "key"), 503U);
        EXPECT_EQ(status_of(node, "/bookings/1", "other"), 503U);
        EXPECT_EQ(status_of(node, "/bookings/1", std::nullopt), 401U);
        EXPECT_EQ(status_of(node, "/bookings/1", "key"), 0U);
    }
    {
        SCOPED_TRACE("a workspace whose rate is unreadable is not unlimited");
        configuration current = whole_configuration();
        current.workspaces[0].is_unreadable = true;
        entry_node node(current);
        EXPECT_EQ(status_of(node, "/bookings/1", "key"), 503U);
        EXPECT_EQ(status_of(node, "/calls/1", std::nullopt), 0U);
    }
    {
        SCOPED_TRACE("a whole document answers 404 and 401");
        entry_node node;
        EXPECT_EQ(status_of(node, "/other/1", "key"), 404U);
        EXPECT_EQ(status_of(node, "/bookings/1", "other"), 401U);
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
