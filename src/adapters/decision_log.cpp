#include "adapters/decision_log.hpp"

#include "adapters/clock.hpp"

namespace cyclamenhold
{
namespace
{

// Steps of a request that went well stand in the time line and the metrics.
bool is_logged(event_kind kind)
{
    switch (kind)
    {
    case event_kind::request_received:
    case event_kind::request_answered:
    case event_kind::attempt_started:
    case event_kind::gate_queued:
    case event_kind::gate_started:
    case event_kind::loan_granted:
    case event_kind::loan_returned:
    case event_kind::claim_granted:
    case event_kind::node_started:
    case event_kind::node_stopping:
    case event_kind::node_stopped:
        return false;
    default:
        return true;
    }
}

// Beliefs change seldom and explain many requests, so they are never left out.
bool is_about_request(const event& seen)
{
    return seen.trace != trace_id{};
}

struct line_budget
{
    bool may_write = false;
    std::uint64_t suppressed = 0;
};

line_budget take_line(decision_log& decisions, bool must_write)
{
    const std::scoped_lock lock(decisions.mutex);
    const time_point at = now();
    line_budget budget;
    if (at - decisions.second_started >= 1s)
    {
        budget.suppressed = std::exchange(decisions.suppressed, 0);
        decisions.second_started = at;
        decisions.written = 0;
    }
    budget.may_write =
        must_write || decisions.written < decisions.max_lines_per_second;
    if (budget.may_write)
    {
        ++decisions.written;
    }
    else
    {
        ++decisions.suppressed;
    }
    return budget;
}

} // namespace

void log_decision(
    decision_log& decisions, const json_log& log, const event& seen)
{
    if (seen.is_routine || !is_logged(seen.kind))
    {
        return;
    }
    const line_budget budget = take_line(decisions, !is_about_request(seen));
    if (budget.suppressed > 0)
    {
        write_log(
            log, log_level::warning, "log-lines-left-out",
            {{"count", budget.suppressed}});
    }
    if (!budget.may_write)
    {
        return;
    }
    write_log(
        log, log_level::info, name_of(seen.kind),
        {{"request", seen.request_id},
         {"trace", seen.trace == trace_id{} ? "" : to_string(seen.trace)},
         {"peer", seen.peer == host_id::none ? "" : to_string(seen.peer)},
         {"detail", seen.detail}});
}

} // namespace cyclamenhold
