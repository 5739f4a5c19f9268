#include "core/request/call.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

const time_point start_time{1000s};
constexpr std::size_t depth_limit = 8;

host_id host_number(std::size_t index)
{
    return make_host_id(0x0a000001, static_cast<std::uint16_t>(index + 1));
}

// Configures a node with routes to `depth_limit` services, each with three
// upstreams.
void set_up(request_path& path, std::uint16_t allowance, bool never_repeat)
{
    configuration current;
    current.revision = 1;
    std::vector<upstream_location> locations;
    for (std::size_t depth = 0; depth < depth_limit; ++depth)
    {
        const std::string name = "s" + std::to_string(depth);
        route entry;
        entry.name = name;
        entry.path_prefix = "/" + name;
        entry.service = name;
        entry.open = true;
        entry.never_repeat = never_repeat;
        entry.retry_allowance = allowance;
        current.routes.push_back(entry);
        for (std::size_t i = 0; i < 3; ++i)
        {
            upstream_record record{name, upstream_state::serving, 10, 100, 1};
            locations.push_back(
                {host_number(depth * 3 + i), 1, data_centre_id::none, record});
        }
    }
    path.tables.publish(
        std::make_unique<request_tables>(build_request_tables(current)));
    path.routing.publish(std::make_unique<routing_view>(
        build_routing_view(locations, data_centre_id::none, routing_view{})));
}

enum class failure_mode
{
    // The upstream's node reports the unused allowance.
    reported,
    // The connection breaks and nothing is reported.
    lost,
    mixed
};

struct call_tree
{
    request_path path;
    random_source random{1};
    std::size_t fan_out = 1;
    failure_mode mode = failure_mode::reported;
    std::size_t calls = 0;
    std::size_t attempts = 0;
    std::size_t attempts_at_bottom = 0;
};

attempt_result run_attempt(call_tree& run, const call_step& step);

void run_call(
    call_tree& run, std::size_t depth,
    const std::shared_ptr<call_record>& parent)
{
    ++run.calls;
    call_request request;
    request.method = "GET";
    request.target = "/s" + std::to_string(depth);
    if (parent)
    {
        request.parent = parent->context;
        request.parent_record = parent;
    }
    call_state call;
    call.id = run.calls;
    call_step step =
        begin_call(run.path, call, request, start_time, run.random);
    while (step.kind == call_step_kind::attempt)
    {
        const attempt_result result = run_attempt(run, step);
        step = call_on_attempt(run.path, call, result, start_time, run.random);
    }
    EXPECT_EQ(step.kind, call_step_kind::refuse);
    EXPECT_EQ(step.result, outcome::unknown);
    end_call(run.path, call, start_time);
}

// Calls the services of the next depth, then fails.
attempt_result run_attempt(call_tree& run, const call_step& step)
{
    ++run.attempts;
    const auto record = std::make_shared<call_record>(step.context);
    const std::size_t below = step.context.depth + std::size_t{1};
    if (below == depth_limit)
    {
        ++run.attempts_at_bottom;
    }
    for (std::size_t i = 0; below < depth_limit && i < run.fan_out; ++i)
    {
        run_call(run, below, record);
    }
    attempt_result result;
    const bool lost =
        run.mode == failure_mode::lost ||
        (run.mode == failure_mode::mixed && random_below(run.random, 2) == 0);
    result.returned_allowance = lost ? 0 : record->allowance.close();
    return result;
}

TEST(retries, allowance_is_conserved_over_the_tree)
{
    for (const std::size_t fan_out : {1, 2})
    {
        for (const auto mode :
             {failure_mode::reported, failure_mode::lost, failure_mode::mixed})
        {
            for (const std::uint16_t allowance : {0, 1, 2, 7})
            {
                SCOPED_TRACE(
                    "fan-out " + std::to_string(fan_out) + ", mode " +
                    std::to_string(static_cast<int>(mode)) + ", allowance " +
                    std::to_string(allowance));
                call_tree run;
                run.fan_out = fan_out;
                run.mode = mode;
                set_up(run.path, allowance, false);
                run_call(run, 0, nullptr);
                EXPECT_LE(run.attempts, run.calls + allowance);
                EXPECT_GE(run.attempts, run.calls + (allowance > 0 ? 1 : 0));
                if (fan_out == 1)
                {
                    EXPECT_LE(run.attempts_at_bottom, 1U + allowance);
                }
            }
        }
    }
}

TEST(retries, shares_of_the_pool)
{
    allowance_pool pool(5);
    {
        SCOPED_TRACE("child calls take shares until none is left");
        EXPECT_EQ(pool.take_share(), 3);
        EXPECT_EQ(pool.take_share(), 1);
        EXPECT_EQ(pool.take_share(), 1);
        EXPECT_EQ(pool.take_share(), 0);
    }
    {
        SCOPED_TRACE(
            "returned shares can be taken again until the pool is closed");
        pool.return_share(2);
        EXPECT_EQ(pool.take_share(), 1);
        EXPECT_EQ(pool.close(), 1);
        pool.return_share(1);
        EXPECT_EQ(pool.take_share(), 0);
        EXPECT_EQ(pool.close(), 0);
    }
}

TEST(retries, budget)
{
    retry_budget budget;
    const auto workspace = workspace_id_of("school");
    std::size_t retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        record_first_attempt(budget, workspace, service_id_of("shop"));
        retries += take_retry(budget, workspace, service_id_of("shop")) ? 1 : 0;
    }
    EXPECT_LE(retries, 110U);
    EXPECT_GE(retries, 100U);
    {
        SCOPED_TRACE("another workspace has its own budget");
        EXPECT_TRUE(take_retry(
            budget, workspace_id_of("museum"), service_id_of("shop")));
    }
    {
        SCOPED_TRACE("a failure matches one re-send, within 10 s");
        record_failed_request(budget, {42, 7, start_time});
        const auto failed = take_failed_request(budget, 42, start_time + 1s);
        ASSERT_TRUE(failed.has_value());
        EXPECT_EQ(failed->slot, 7);
        EXPECT_FALSE(
            take_failed_request(budget, 42, start_time + 1s).has_value());
        record_failed_request(budget, {42, 7, start_time});
        EXPECT_FALSE(
            take_failed_request(budget, 42, start_time + 11s).has_value());
    }
}

attempt_result refused(outcome result, bool sent = true)
{
    attempt_result answer;
    answer.status = attempt_status::refused;
    answer.reason = refusal::overloaded;
    answer.result = result;
    answer.sent = sent;
    return answer;
}

TEST(retries, never_repeat)
{
    random_source random(1);
    call_request request;
    request.method = "POST";
    request.target = "/s0";
    const auto run = [&](const std::vector<attempt_result>& results)
    {
        request_path path;
        set_up(path, 3, true);
        call_state call;
        auto step = begin_call(path, call, request, start_time, random);
        for (const auto& result : results)
        {
            EXPECT_EQ(step.kind, call_step_kind::attempt);
            step = call_on_attempt(path, call, result, start_time, random);
        }
        end_call(path, call, start_time);
        return step;
    };
    {
        SCOPED_TRACE("a not-run refusal is followed by another attempt");
        EXPECT_EQ(
            run({refused(outcome::not_run)}).kind, call_step_kind::attempt);
        EXPECT_EQ(
            run({refused(outcome::unknown, false)}).kind,
            call_step_kind::attempt);
    }
    {
        SCOPED_TRACE("any other result ends the call with outcome unknown");
        attempt_result broken;
        attempt_result late;
        late.status = attempt_status::timed_out;
        attempt_result contradictory;
        contradictory.result = outcome::not_run;
        for (const auto& result :
             {broken, late, contradictory, refused(outcome::unknown),
              refused(outcome::ran)})
        {
            const auto step = run({refused(outcome::not_run), result});
            EXPECT_EQ(step.kind, call_step_kind::refuse);
            EXPECT_EQ(step.result, outcome::unknown);
        }
    }
    {
        SCOPED_TRACE("a request that was refused each time has not run");
        const std::vector<attempt_result> all(3, refused(outcome::not_run));
        call_step step = run(all);
        EXPECT_EQ(step.result, outcome::not_run);
    }
}

} // namespace
} // namespace cyclamenhold
