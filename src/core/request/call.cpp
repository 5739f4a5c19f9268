#include "core/request/call.hpp"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

call_step refuse(refusal reason, outcome result, duration retry_after = {})
{
    call_step step;
    step.reason = reason;
    step.result = result;
    step.retry_after = retry_after;
    return step;
}

outcome outcome_of(const call_state& call)
{
    return call.may_have_run ? outcome::unknown : outcome::not_run;
}

std::uint64_t digest_of(const call_request& request, workspace_id workspace)
{
    const std::string text =
        request.method + ' ' + request.target + ' ' + request.idempotency_key;
    return XXH3_64bits_withSeed(
        text.data(), text.size(), static_cast<XXH64_hash_t>(workspace));
}

// Fills the context from the route and, for a child call, from the parent.
void fill_context(
    call_state& call, const call_request& request, const route_entry& route,
    workspace_id workspace, time_point now, random_source& random)
{
    request_context& context = call.context;
    const auto& settings = route.settings;
    context.workspace = workspace;
    context.service = route.service;
    context.never_repeat = settings.never_repeat;
    context.idempotency_key = request.idempotency_key;
    context.digest = digest_of(request, workspace);
    const auto limit = std::chrono::milliseconds(settings.deadline);
    context.deadline = now + std::min(limit, request.timeout.value_or(limit));
    if (request.parent)
    {
        const request_context& parent = *request.parent;
        context.trace = parent.trace;
        context.priority = parent.priority;
        context.slot = parent.slot;
        context.depth = parent.depth + 1;
        context.retry_allowance = parent.retry_allowance;
        context.deadline = std::min(context.deadline, parent.deadline);
        return;
    }
    context.trace = {random(), random()};
    context.priority = settings.priority;
    context.slot =
        static_cast<std::uint16_t>(random_below(random, admission_slot_count));
    context.retry_allowance = settings.retry_allowance;
}

call_step next_attempt(
    request_path& path, call_state& call, time_point now, random_source& random)
{
    if (call.context.deadline <= now)
    {
        return refuse(refusal::deadline_exceeded, outcome_of(call));
    }
    const auto view = path.routing.read();
    auto choice = choose_upstream(*view, call.context, call.tried, now, random);
    if (choice.reason != refusal::none)
    {
        return refuse(choice.reason, outcome_of(call), 1s);
    }
    call.target = std::move(choice.candidate);
    call.tried.push_back(call.target.location.host);
    call.attempt_started = now;
    ++call.attempts;
    note_attempt_started(*call.target.stats);
    call_step step;
    step.kind = call_step_kind::attempt;
    step.target = call.target;
    step.context = call.context;
    return step;
}

call_step after_token(
    request_path& path, call_state& call, time_point now, random_source& random)
{
    if (!call.needs_claim)
    {
        return next_attempt(path, call, now, random);
    }
    call_step step;
    step.kind = call_step_kind::ask_claim;
    step.question = {
        call.id,
        call.context.workspace,
        call.context.idempotency_key,
        call.context.digest,
        call.context.deadline,
        call.context.trace};
    return step;
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
        find_route(*tables, request.method, request.target);
    if (route == nullptr)
    {
        return refuse(refusal::no_route, outcome::not_run);
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
        return refuse(refusal::unauthenticated, outcome::not_run);
    }
    fill_context(call, request, *route, workspace, now, random);
    call.needs_claim =
        call.context.never_repeat && !request.idempotency_key.empty();
    if (workspace == workspace_id::none || request.parent)
    {
        return after_token(path, call, now, random);
    }
    const auto [verdict, retry_after] = take_token(
        path.limiter, workspace, call.id, call.context.deadline, now);
    switch (verdict)
    {
    case token_verdict::admitted:
        return after_token(path, call, now, random);
    case token_verdict::refused:
        return refuse(refusal::rate_exceeded, outcome::not_run, retry_after);
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
        return refuse(refusal::rate_exceeded, outcome::not_run, 1s);
    }
    return after_token(path, call, now, random);
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
    note_attempt_ended(
        *call.target.stats, result.status, now - call.attempt_started, now);
    if (result.load)
    {
        note_load_report(*call.target.stats, *result.load, now);
    }
    if (result.status == attempt_status::replied)
    {
        call_step step;
        step.kind = call_step_kind::deliver;
        return step;
    }
    const bool not_run = !result.sent || result.result == outcome::not_run;
    call.may_have_run = call.may_have_run || !not_run;
    const bool repeatable = not_run || !call.context.never_repeat;
    if (repeatable && result.replayable && call.context.retry_allowance > 0 &&
        result.status != attempt_status::cancelled)
    {
        --call.context.retry_allowance;
        return next_attempt(path, call, now, random);
    }
    const refusal reason = result.reason == refusal::none
                               ? refusal::upstream_failed
                               : result.reason;
    return refuse(reason, outcome_of(call), 1s);
}

void end_call(request_path& path, call_state& call, time_point /*now*/)
{
    cancel_wait(path.limiter, call.context.workspace, call.id);
}

} // namespace cyclamenhold
