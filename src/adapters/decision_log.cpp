#include "adapters/decision_log.hpp"

#include "adapters/clock.hpp"

namespace cyclamenhold
{
namespace
{

// Successful steps of a request are not logged: the time line and the metrics
// have them.
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

// Other events are changes of the node's view of the fleet. They are rare and
// explain the outcomes of many requests, so they are not limited.
bool is_about_request(const event& what)
{
    return what.trace != trace_id{};
}

struct line_admission
{
    bool is_admitted = false;
    std::uint64_t suppressed = 0;
};

line_admission admit_line(decision_log& decisions, bool is_unlimited)
{
    const std::scoped_lock lock(decisions.mutex);
    const time_point at = now();
    line_admission admission;
    if (at - decisions.second_started >= 1s)
    {
        admission.suppressed = std::exchange(decisions.suppressed, 0);
        decisions.second_started = at;
        decisions.written = 0;
    }
    admission.is_admitted =
        is_unlimited || decisions.written < decisions.max_lines_per_second;
    if (admission.is_admitted)
    {
        ++decisions.written;
    }
    else
    {
        ++decisions.suppressed;
    }
    return admission;
}

} // namespace

void log_decision(
    decision_log& decisions, const json_log& log, const event& what)
{
    if (what.is_routine || !is_logged(what.kind))
    {
        return;
    }
    const line_admission admission =
        admit_line(decisions, !is_about_request(what));
    if (admission.suppressed > 0)
    {
        write_log(
            log, log_level::warning, "log-lines-left-out",
            {{"count", admission.suppressed}});
    }
    if (!admission.is_admitted)
    {
        return;
    }
    write_log(
        log, log_level::info, name_of(what.kind),
        {{"request", what.request_id},
         {"trace", what.trace == trace_id{} ? "" : to_string(what.trace)},
         {"peer", what.peer == host_id::none ? "" : to_string(what.peer)},
         {"detail", what.detail}});
}

} // namespace cyclamenhold
