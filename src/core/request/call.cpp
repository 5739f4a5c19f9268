#include "core/request/call.hpp"

#include "core/gate/admission_position.hpp"
#include "core/request/call_context.hpp"
#include "core/request/refusal_inputs.hpp"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace cyclamenhold
{
namespace
{

constexpr unsigned first_server_error = 500;
// After at most this many node refusals, a request is sent to another upstream
// without taking a retry.
constexpr std::uint32_t max_node_refusals = 2;

call_step refuse(
    refusal reason, outcome result, duration retry_after = {},
    std::string inputs = {})
{
    call_step step;
    step.reason = reason;
    step.result = result;
    step.retry_after = retry_after;
    step.inputs = std::move(inputs);
    return step;
}

// The retry-after time for a caller that was refused for load. Randomised, so
// that callers refused together do not retry together.
duration retry_delay(const request_path& path, random_source& random)
{
    if (!path.treats_keyless_as_calls)
    {
        return 1s;
    }
    constexpr double earliest_seconds = 0.5;
    constexpr double spread_seconds = 1.0;
    return from_seconds(
        earliest_seconds + spread_seconds * random_fraction(random));
}

outcome outcome_of(const call_state& call)
{
    return call.may_have_run ? outcome::unknown : outcome::not_run;
}

// Records the admission level found during routing in the parent's record,
// whose reply carries it to the entry node. At the entry node, records it for
// the route.
void record_choice_level(
    request_path& path, const call_state& call, const routing_choice& choice,
    time_point now)
{
    if (choice.reason == refusal::no_upstream)
    {
        return;
    }
    if (call.parent_record)
    {
        call.parent_record->downstream.record(choice.level);
    }
    else if (choice.reason == refusal::overloaded)
    {
        record_route_level(
            path.levels, call.route, choice.level, level_scope::part_of_route,
            now);
    }
}

call_step next_attempt(
    request_path& path, call_state& call, time_point now, random_source& random)
{
    if (call.context.deadline <= now)
    {
        return refuse(refusal::deadline_exceeded, outcome_of(call));
    }
    // A never-repeat request that may have run is not sent again.
    assert(!call.context.never_repeat || !call.may_have_run);
    const auto view = path.routing.read();
    auto choice = choose_upstream(*view, call.context, call.tried, now, random);
    record_choice_level(path, call, choice, now);
    if (choice.reason != refusal::none)
    {
        return refuse(
            choice.reason, outcome_of(call), retry_delay(path, random),
            choice_inputs(choice, call.tried.size()));
    }
    call.target = std::move(choice.candidate);
    call.tried.push_back(call.target.location.host);
    call.attempt_started = now;
    ++call.attempts;
    record_attempt_started(*call.target.stats);
    call_step step;
    step.kind = call_step_kind::attempt;
    step.target = call.target;
    step.context = call.context;
    const auto [kept, passed] = split_allowance(call.context.retry_allowance);
    call.context.retry_allowance = kept;
    call.passed_allowance = passed;
    step.context.retry_allowance = passed;
    return step;
}

// Refuses a root request that a service below its route would refuse.
std::optional<call_step> refuse_early(
    request_path& path, call_state& call, time_point now, random_source& random)
{
    if (path.treats_keyless_as_calls)
    {
        call.is_throttled = throttle_admits(
            path.throttle, call.route, call.context.priority, call.is_resend,
            now, random);
        if (call.is_throttled)
        {
            return std::nullopt;
        }
        return refuse(
            refusal::overloaded, outcome::not_run, retry_delay(path, random),
            throttle_inputs(
                call.route, state_of_route(path.throttle, call.route)));
    }
    const admission_level level = level_of_route(path.levels, call.route, now);
    if (admits(level, call.context, random))
    {
        return std::nullopt;
    }
    return refuse(
        refusal::overloaded, outcome::not_run, retry_delay(path, random));
}

// Counts a root request against its workspace's retry budget when it is a
// re-send. When the budget is empty, the request is refused only while the
// services below the route are overloaded; otherwise there is capacity for it.
std::optional<call_step>
count_resend(request_path& path, call_state& call, time_point now)
{
    const workspace_id workspace = call.context.workspace;
    const auto failed =
        take_failed_request(path.retries, call.context.digest, now);
    if (!failed)
    {
        record_first_attempt(path.retries, workspace, call.context.service);
        return std::nullopt;
    }
    // A re-send keeps its slot. A new draw would only add load.
    call.context.slot = failed->slot;
    call.is_resend = true;
    const admission_level level = level_of_route(path.levels, call.route, now);
    const bool overloaded = level.lowest_class <= call.context.priority &&
                            open_positions(level) < admission_position_count;
    if (take_retry(path.retries, workspace, call.context.service) ||
        !overloaded)
    {
        return std::nullopt;
    }
    return refuse(refusal::retry_budget_exhausted, outcome::not_run, 1s);
}

// Refuses a root request whose tree does not fit into the services below its
// route.
std::optional<call_step> refuse_beyond_budget(
    request_path& path, const call_state& call, time_point now,
    random_source& random)
{
    if (call.context.depth > 0)
    {
        return std::nullopt;
    }
    const tree_key key{
        call.context.route, call.context.service, call.context.priority};
    observe_arrival(path.trees, key);
    // Callers who come back have waited longest.
    const std::uint16_t slot =
        call.is_resend ? call.context.slot / 2 : call.context.slot;
    if (admit_tree(path.tree_budget, key, slot, now, random) !=
        tree_verdict::refused)
    {
        return std::nullopt;
    }
    return refuse(
        refusal::overloaded, outcome::not_run, retry_delay(path, random),
        "route " + call.route + ", " +
            describe_admission(path.tree_budget, key));
}

call_step continue_after_token(
    request_path& path, call_state& call, time_point now, random_source& random)
{
    if (auto refused = refuse_beyond_budget(path, call, now, random))
    {
        // It says nothing about the services below.
        call.ended_without_load_signal = true;
        return *std::move(refused);
    }
    if (!call.needs_claim)
    {
        return next_attempt(path, call, now, random);
    }
    call_step step;
    step.kind = call_step_kind::request_claim;
    step.requested_claim = {
        call.id,
        call.context.workspace,
        call.context.idempotency_key,
        call.context.digest,
        call.context.deadline,
        call.context.trace};
    return step;
}

// Applies the settings of the request's workspace.
void apply_workspace(const request_tables& tables, call_state& call)
{
    const auto regions = tables.workspace_regions.find(call.context.workspace);
    if (regions != tables.workspace_regions.end())
    {
        call.context.regions = both(call.context.regions, regions->second);
    }
    const auto found = tables.workspaces.find(call.context.workspace);
    if (found == tables.workspaces.end())
    {
        return;
    }
    call.workspace = found->second.name;
    call.unlimited = found->second.unlimited;
    if (found->second.priority && call.context.depth == 0)
    {
        call.context.priority = *found->second.priority;
    }
}

// The status that counts for the upstream's statistics. A reply that reports a
// fault of the upstream is a failure; one that reports overload is not.
attempt_status status_for_stats(const attempt_result& result)
{
    const bool fault = result.http_status == 500 || result.http_status == 502;
    return result.status == attempt_status::replied && fault
               ? attempt_status::failed
               : result.status;
}

// True only when this node sent nothing, or when the upstream's node reports
// that the request has not run.
bool has_not_run(const attempt_result& result)
{
    return !result.sent || (result.status == attempt_status::refused &&
                            result.result == outcome::not_run);
}

void record_downstream_level(
    request_path& path, const call_state& call, const attempt_result& result,
    time_point now)
{
    const admission_level& level = result.load->downstream;
    if (call.parent_record)
    {
        call.parent_record->downstream.record(level);
        return;
    }
    const bool is_complete = result.status == attempt_status::replied &&
                             result.http_status < first_server_error;
    record_route_level(
        path.levels, call.route, level,
        is_complete ? level_scope::whole_route : level_scope::part_of_route,
        now);
}

// Reclaims the allowance passed with an attempt. When the request was sent and
// no reply returned an unused part, the passed allowance is lost.
void reclaim_allowance(call_state& call, const attempt_result& result)
{
    const std::uint16_t passed = std::exchange(call.passed_allowance, 0);
    const std::uint16_t returned =
        result.sent ? std::min(passed, result.returned_allowance) : passed;
    call.context.retry_allowance += returned;
}

// True when the node at the upstream refused the request. No upstream has
// received it, so it may be sent to another without being counted as a retry.
bool is_node_refusal(const attempt_result& result)
{
    return has_not_run(result) && (result.reason == refusal::overloaded ||
                                   result.reason == refusal::draining ||
                                   result.reason == refusal::evacuated ||
                                   result.reason == refusal::no_upstream);
}

bool try_take_retry(
    request_path& path, const call_state& call, const attempt_result& result)
{
    if (result.status == attempt_status::cancelled || !result.replayable ||
        call.context.retry_allowance == 0)
    {
        return false;
    }
    if (call.context.never_repeat && call.may_have_run)
    {
        return false;
    }
    return take_retry(
        path.retries, call.context.workspace, call.context.service);
}

// Time since the keys became stale; negative while they are fresh. A node that
// was cut off may not have received the withdrawal of a key.
duration time_since_keys_expired(const request_path& path, time_point now)
{
    return now.time_since_epoch() -
           duration(path.keys_fresh_until.load(std::memory_order_relaxed));
}

bool are_keys_fresh(const request_path& path, time_point now)
{
    return time_since_keys_expired(path, now) < duration::zero();
}

// Refuses a request that the document may allow in a part that this node could
// not read. 401 and 404 would be final answers to requests that may be proper.
call_step refuse_unreadable(const request_tables& tables, std::string_view what)
{
    return refuse(
        refusal::not_configured, outcome::not_run, 1s,
        version_inputs(tables) + ", unreadable: " + std::string(what));
}

bool has_unreadable_rate(const request_tables& tables, workspace_id workspace)
{
    const auto found = tables.workspaces.find(workspace);
    return found != tables.workspaces.end() && found->second.is_unreadable;
}

} // namespace

call_step begin_call(
    request_path& path, call_state& call, const call_request& request,
    time_point now, random_source& random)
{
    const auto tables = path.tables.read();
    if (tables->revision == 0)
    {
        return refuse(refusal::not_configured, outcome::not_run, 1s);
    }
    const route_entry* const route =
        find_route(*tables, request.host, request.method, request.target);
    if (route == nullptr)
    {
        return tables->has_unplaced_entries
                   ? refuse_unreadable(*tables, "an entry of the document")
                   : refuse(
                         refusal::no_route, outcome::not_run, {},
                         version_inputs(*tables));
    }
    if (route->settings.is_unreadable)
    {
        return refuse_unreadable(*tables, "route " + route->settings.name);
    }
    if (request.key && !route->settings.open && !are_keys_fresh(path, now))
    {
        return refuse(
            refusal::not_configured, outcome::not_run, 1s,
            stale_key_inputs(*tables, time_since_keys_expired(path, now)));
    }
    workspace_id workspace = workspace_id::none;
    if (request.parent)
    {
        workspace = request.parent->workspace;
    }
    else if (request.key)
    {
        workspace = authenticate(*tables, path.fleet_secret, *request.key);
    }
    if (workspace == workspace_id::none && !route->settings.open &&
        !request.parent)
    {
        return request.key && tables->has_unreadable_keys
                   ? refuse_unreadable(*tables, "a key of the document")
                   : refuse(
                         refusal::unauthenticated, outcome::not_run, {},
                         version_inputs(*tables));
    }
    if (has_unreadable_rate(*tables, workspace))
    {
        return refuse_unreadable(*tables, "the rate of the workspace");
    }
    fill_context(path, call, request, *route, workspace, now, random);
    if (call.context.deadline.time_since_epoch().count() >
        path.latest_deadline.load(std::memory_order_relaxed))
    {
        return refuse(
            refusal::draining, outcome::not_run, retry_delay(path, random));
    }
    apply_workspace(*tables, call);
    call.route = route->settings.name;
    if (path.treats_keyless_as_calls && call.context.depth > 0)
    {
        observe_call(
            path.trees, call.context.route,
            request.timeout ? now + *request.timeout : call.context.deadline);
    }
    call.needs_claim =
        call.context.never_repeat && !request.idempotency_key.empty();
    if (is_quarantined(*path.quarantine.read(), call.context.digest))
    {
        return refuse(refusal::quarantined, outcome::not_run);
    }
    if (request.parent)
    {
        record_first_attempt(path.retries, workspace, call.context.service);
        return continue_after_token(path, call, now, random);
    }
    if (auto refused = count_resend(path, call, now))
    {
        return *refused;
    }
    if (auto refused = refuse_early(path, call, now, random))
    {
        return *refused;
    }
    if (workspace == workspace_id::none || call.unlimited)
    {
        return continue_after_token(path, call, now, random);
    }
    const token_answer answer = take_token(
        path.limiter, workspace, call.id, call.context.deadline, now);
    switch (answer.verdict)
    {
    case token_verdict::admitted:
        call.holds_token = true;
        call.token_taken_at = now;
        return continue_after_token(path, call, now, random);
    case token_verdict::refused:
        call.ended_without_load_signal = true;
        return refuse(
            refusal::rate_exceeded, outcome::not_run, answer.retry_after,
            rate_inputs(*tables, call.workspace, answer));
    case token_verdict::waiting:
        break;
    }
    call_step step;
    step.kind = call_step_kind::wait_for_token;
    return step;
}

call_step call_on_token(
    request_path& path, call_state& call, bool admitted, time_point now,
    random_source& random)
{
    if (!admitted)
    {
        call.ended_without_load_signal = true;
        const auto tables = path.tables.read();
        const token_answer answer =
            bucket_refusal(path.limiter, call.context.workspace, now);
        return refuse(
            refusal::rate_exceeded, outcome::not_run, answer.retry_after,
            rate_inputs(*tables, call.workspace, answer));
    }
    call.holds_token = true;
    call.token_taken_at = now;
    return continue_after_token(path, call, now, random);
}

call_step call_on_claim(
    request_path& path, call_state& call, const claim_answer& answer,
    time_point now, random_source& random)
{
    call_step step;
    switch (answer.status)
    {
    case claim_status::granted:
        call.context.claim = answer.grant;
        return next_attempt(path, call, now, random);
    case claim_status::unavailable:
        return refuse(refusal::claim_unavailable, outcome::not_run, 1s);
    case claim_status::in_progress:
        return refuse(refusal::duplicate_in_progress, outcome::unknown, 1s);
    case claim_status::unknown:
        return refuse(refusal::duplicate_finished, outcome::unknown);
    case claim_status::mismatch:
        return refuse(refusal::bad_request, outcome::not_run);
    case claim_status::finished:
        break;
    }
    if (answer.reply.status == 0)
    {
        return refuse(refusal::duplicate_finished, outcome::ran);
    }
    step.kind = call_step_kind::answer_stored;
    step.result = outcome::ran;
    step.reply = answer.reply;
    return step;
}

call_step call_on_attempt(
    request_path& path, call_state& call, const attempt_result& result,
    time_point now, random_source& random)
{
    record_attempt_ended(
        *call.target.stats, status_for_stats(result),
        now - call.attempt_started, now);
    if (has_not_run(result) && result.reason == refusal::no_upstream)
    {
        record_unreachable(*call.target.stats, now);
    }
    else if (result.load)
    {
        record_load_report(*call.target.stats, *result.load, now);
        record_downstream_level(path, call, result, now);
    }
    reclaim_allowance(call, result);
    call.ended_without_load_signal = result.status == attempt_status::cancelled;
    if (result.status == attempt_status::replied)
    {
        call.has_run = true;
        call.answered = result.http_status < first_server_error;
        call_step step;
        step.kind = call_step_kind::deliver;
        step.result = outcome::ran;
        return step;
    }
    call.may_have_run = call.may_have_run || !has_not_run(result);
    if (path.retries_node_refusals && is_node_refusal(result) &&
        result.replayable && call.node_refusals < max_node_refusals)
    {
        ++call.node_refusals;
        return next_attempt(path, call, now, random);
    }
    if (try_take_retry(path, call, result))
    {
        --call.context.retry_allowance;
        return next_attempt(path, call, now, random);
    }
    const refusal reason = result.reason == refusal::none
                               ? refusal::upstream_failed
                               : result.reason;
    return refuse(reason, outcome_of(call), retry_delay(path, random));
}

void end_call(request_path& path, call_state& call, time_point now)
{
    if (call.is_throttled && !call.ended_without_load_signal)
    {
        throttle_record_end(path.throttle, call.route, call.answered, now);
    }
    if (call.parent_record)
    {
        call.parent_record->allowance.return_share(
            call.context.retry_allowance);
        call.parent_record->child_wait.record_end(now);
        call.parent_record.reset();
    }
    if (call.context.depth > 0)
    {
        return;
    }
    cancel_wait(path.limiter, call.context.workspace, call.id);
    // A token borrowed on a loan stays used, because its use has already been
    // reported to the lender.
    if (call.holds_token && !call.may_have_run && !call.has_run &&
        path.treats_keyless_as_calls)
    {
        return_token(
            path.limiter, call.context.workspace, call.token_taken_at, now);
    }
    if (!call.answered && call.context.digest != 0)
    {
        record_failed_request(
            path.retries, {call.context.digest, call.context.slot, now});
    }
}

} // namespace cyclamenhold
