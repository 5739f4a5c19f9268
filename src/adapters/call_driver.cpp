#include "adapters/call_driver.hpp"

#include "adapters/clock.hpp"
#include "adapters/http_fields.hpp"
#include "adapters/reply_pieces.hpp"
#include "adapters/reply_writer.hpp"

namespace cyclamenhold
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

// The state of one request across its attempts.
struct call_run
{
    caller_ptr caller;
    running_request_ptr parent;
    call_state state;
    request_head head;
    // The caller's own id of the request.
    std::string request_id;
    // An upstream has been sent more of the body than the prefix, so the
    // request cannot be sent again.
    bool body_streamed = false;
    exchange_ptr work;
    reply_event first_event;
};

void record(
    const call_run& run, event_kind kind, host_id peer, std::string detail)
{
    event recorded;
    recorded.kind = kind;
    recorded.trace = run.state.context.trace;
    recorded.request_id = run.request_id;
    recorded.workspace = run.state.context.workspace;
    recorded.peer = peer;
    recorded.detail = std::move(detail);
    run.caller->thread.services.record(recorded);
}

void record_attempt(
    const call_run& run, host_id target, const attempt_result& result)
{
    constexpr unsigned first_server_error = 500;
    event recorded;
    recorded.kind = event_kind::attempt_ended;
    recorded.trace = run.state.context.trace;
    recorded.request_id = run.request_id;
    recorded.workspace = run.state.context.workspace;
    recorded.peer = target;
    const bool replied = result.status == attempt_status::replied;
    recorded.detail = replied ? std::to_string(result.http_status)
                              : std::string(name_of(result.reason)) + ", " +
                                    std::string(name_of(result.result));
    recorded.is_routine = replied && result.http_status < first_server_error;
    run.caller->thread.services.record(recorded);
}

asio::awaitable<bool> read_more(caller_request& caller, std::string& bytes)
{
    bytes.resize(max_chunk_bytes);
    auto& body = caller.parser->get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    caller.connection->stream.expires_after(
        caller.thread.services.limits.body_stall_timeout);
    const auto [error, count] = co_await http::async_read(
        caller.connection->stream, caller.connection->buffer, *caller.parser,
        asio::as_tuple(asio::use_awaitable));
    bytes.resize(bytes.size() - body.size);
    co_return !error || error == http::error::need_buffer;
}

// Forwards the rest of a long body from the caller to the attempt.
asio::awaitable<void>
forward_remaining_body(caller_ptr caller, exchange_ptr work)
{
    bool last = false;
    while (!last)
    {
        body_chunk chunk;
        const bool more = co_await read_more(*caller, chunk.bytes);
        if (!more)
        {
            disconnect(*caller->connection);
            cancel(*work);
            co_return;
        }
        last = caller->parser->is_done();
        chunk.last = last;
        caller->body_complete = last;
        const auto [error] = co_await work->body.async_send(
            boost::system::error_code(), std::move(chunk),
            asio::as_tuple(asio::use_awaitable));
        if (error)
        {
            co_return;
        }
    }
    watch_for_disconnect(caller->connection);
}

// Collects the caller's header fields that are forwarded and those that the
// entry node adds.
void fill_forwarded_fields(call_run& run, const call_request& request)
{
    const node_services& services = run.caller->thread.services;
    const header_names& names = services.profile.headers;
    auto& fields = run.head.headers;
    fields = forwarded_fields(
        run.caller->parser->get().base(), names,
        request.key.value_or(std::string()));
    if (names.forwards_host)
    {
        fields.push_back({"Host", request.host});
    }
    if (!names.workspace.empty() && !run.state.workspace.empty())
    {
        fields.push_back({names.workspace, run.state.workspace});
    }
    if (!names.caller_service.empty())
    {
        fields.push_back({names.caller_service, services.local_service});
    }
}

void dispatch(call_run& run, const call_step& step)
{
    request_thread& thread = run.caller->thread;
    const host_id target = step.target.location.host;
    const bool local = target == thread.services.self;
    run.work = std::make_shared<exchange>(
        thread.io.get_executor(), waiting_chunk_capacity,
        local ? waiting_chunk_capacity : credited_chunk_capacity);
    run.work->context = step.context;
    run.work->head = run.head;
    run.work->target_incarnation = step.target.location.host_incarnation;
    run.caller->current = run.work;
    if (run.caller->connection->disconnected)
    {
        cancel(*run.work);
    }
    if (run.parent)
    {
        add_child(*run.parent, run.work);
    }
    run.work->body.try_send(
        boost::system::error_code(),
        body_chunk{run.caller->prefix, run.caller->body_complete});
    record(run, event_kind::attempt_started, target, {});
    if (local)
    {
        thread.services.run_local(run.work);
        return;
    }
    send_exchange(thread.links, target, run.work);
}

// The result of the attempt, from its first event. `closed` means that the
// attempt was cancelled before that event was complete, by its deadline if
// `timed_out`.
attempt_result result_of(const call_run& run, bool closed, bool timed_out)
{
    attempt_result result;
    result.replayable = !run.body_streamed;
    result.sent = !run.work->unsent;
    result.load = run.first_event.load;
    result.returned_allowance = run.first_event.returned_allowance;
    result.latency = now() - run.state.attempt_started;
    if (closed)
    {
        result.status =
            timed_out ? attempt_status::timed_out : attempt_status::cancelled;
        result.reason =
            timed_out ? refusal::deadline_exceeded : refusal::cancelled;
        result.result = result.sent ? outcome::unknown : outcome::not_run;
        return result;
    }
    if (run.first_event.failure)
    {
        result.reason = run.first_event.failure->reason;
        result.result = run.first_event.failure->result;
        const bool refused = result.result == outcome::not_run;
        result.status = refused ? attempt_status::refused
                        : result.reason == refusal::deadline_exceeded
                            ? attempt_status::timed_out
                            : attempt_status::failed;
        return result;
    }
    result.status = attempt_status::replied;
    result.result = outcome::ran;
    result.http_status = run.first_event.head->status;
    return result;
}

// Sends the request and waits for the first event that decides the result.
asio::awaitable<attempt_result> attempt(call_run& run, const call_step& step)
{
    dispatch(run, step);
    const auto work = run.work;
    auto timed_out = std::make_shared<bool>(false);
    asio::steady_timer deadline(
        run.caller->thread.io.get_executor(), run.state.context.deadline);
    deadline.async_wait(
        [work, timed_out](const boost::system::error_code& error)
        {
            if (!error)
            {
                *timed_out = true;
                cancel(*work);
            }
        });
    bool closed = false;
    while (true)
    {
        auto [error, event] = co_await work->reply.async_receive(
            asio::as_tuple(asio::use_awaitable));
        closed = static_cast<bool>(error);
        run.first_event = std::move(event);
        if (closed || !run.first_event.started)
        {
            break;
        }
        if (!run.caller->body_complete && !run.body_streamed)
        {
            run.body_streamed = true;
            asio::co_spawn(
                run.caller->thread.io, forward_remaining_body(run.caller, work),
                asio::detached);
        }
    }
    if (!closed && run.first_event.head &&
        !is_final_status(run.first_event.head->status))
    {
        // From a node that passes on what its upstream sends.
        run.first_event.head.reset();
        run.first_event.failure =
            stream_failure{refusal::upstream_failed, outcome::unknown};
    }
    if (!closed && run.first_event.head && !run.first_event.failure)
    {
        const bool whole = co_await gather_small(work, run.first_event);
        if (!whole && !*timed_out && !run.caller->connection->disconnected)
        {
            run.first_event.head.reset();
            run.first_event.failure =
                stream_failure{refusal::upstream_failed, outcome::unknown};
        }
        closed = !whole && (*timed_out || run.caller->connection->disconnected);
    }
    const auto result = result_of(run, closed, *timed_out);
    record_attempt(run, step.target.location.host, result);
    co_return result;
}

// Waits for the control thread's answer; nullopt at the deadline.
asio::awaitable<std::optional<call_wakeup>> wait_for_wakeup(call_run& run)
{
    request_thread& thread = run.caller->thread;
    const auto channel =
        begin_wait(thread.wakeups, run.state.id, thread.io.get_executor());
    asio::steady_timer deadline(
        thread.io.get_executor(), run.state.context.deadline);
    deadline.async_wait(
        [channel](const boost::system::error_code& error)
        {
            if (!error)
            {
                channel->close();
            }
        });
    auto [error, wakeup] =
        co_await channel->async_receive(asio::as_tuple(asio::use_awaitable));
    end_wait(thread.wakeups, run.state.id);
    if (error)
    {
        co_return std::nullopt;
    }
    co_return wakeup;
}

asio::awaitable<call_step> wait_for_token(call_run& run)
{
    const auto wakeup = co_await wait_for_wakeup(run);
    const bool admitted = wakeup && wakeup->admitted;
    co_return call_on_token(
        run.caller->thread.services.path, run.state, admitted, now(),
        run.caller->thread.random);
}

asio::awaitable<call_step>
wait_for_claim(call_run& run, const claim_request& requested_claim)
{
    run.caller->thread.control.request_claim(requested_claim);
    const auto wakeup = co_await wait_for_wakeup(run);
    claim_answer answer;
    answer.token = run.state.id;
    if (wakeup)
    {
        answer = wakeup->answer;
    }
    co_return call_on_claim(
        run.caller->thread.services.path, run.state, answer, now(),
        run.caller->thread.random);
}

void complete_claim(
    const call_run& run, outcome result, const delivered_reply& delivered)
{
    if (run.state.context.claim.claim_id == 0)
    {
        return;
    }
    claim_completion completion;
    completion.grant = run.state.context.claim;
    completion.workspace = run.state.context.workspace;
    completion.idempotency_key = run.state.context.idempotency_key;
    completion.result = result;
    if (result == outcome::ran && delivered.is_body_stored)
    {
        completion.reply = {
            delivered.status, delivered.content_type, delivered.body};
    }
    run.caller->thread.control.complete_claim(completion);
}

asio::awaitable<void> finish(call_run& run, const call_step& step)
{
    const trace_id trace = run.state.context.trace;
    switch (step.kind)
    {
    case call_step_kind::deliver:
    {
        const auto delivered = co_await deliver_reply(
            run.caller, run.work, std::move(run.first_event), trace);
        complete_claim(
            run,
            delivered.whole || delivered.status != 0 ? outcome::ran
                                                     : outcome::unknown,
            delivered);
        record(
            run,
            delivered.whole ? event_kind::request_answered
                            : event_kind::request_cancelled,
            host_id::none, std::to_string(delivered.status));
        co_return;
    }
    case call_step_kind::answer_stored:
        record(
            run, event_kind::request_answered, host_id::none,
            "from the stored reply");
        co_await write_stored(run.caller, step.reply, trace);
        co_return;
    default:
        complete_claim(run, step.result, {});
        record(
            run, event_kind::request_refused, host_id::none,
            std::string(name_of(step.reason)) + ", " +
                std::string(name_of(step.result)) +
                (step.inputs.empty() ? "" : "; " + step.inputs));
        co_await write_refusal(
            run.caller, step.reason, step.result, step.retry_after, trace);
    }
}

} // namespace

asio::awaitable<void>
run_call(caller_ptr caller, call_request request, running_request_ptr parent)
{
    request_thread& thread = caller->thread;
    request_path& path = thread.services.path;
    call_run run;
    run.caller = caller;
    run.parent = std::move(parent);
    run.state.id = thread.services.next_call++;
    if (const auto resumed = detect_resumption(thread.services.suspensions))
    {
        path.resumed_at = resumed->time_since_epoch().count();
        path.keys_fresh_until = 0;
    }
    run.head.method = request.method;
    run.head.target = request.target;
    run.head.body_size = request.body_size;
    run.request_id = request.request_id;
    if (caller->body_complete && !caller->runs_beside_reader)
    {
        watch_for_disconnect(caller->connection);
    }
    call_step step = begin_call(path, run.state, request, now(), thread.random);
    fill_forwarded_fields(run, request);
    record(
        run, event_kind::request_received, host_id::none,
        request.method + ' ' + request.target);
    while (true)
    {
        if (step.kind == call_step_kind::wait_for_token)
        {
            step = co_await wait_for_token(run);
        }
        else if (step.kind == call_step_kind::request_claim)
        {
            step = co_await wait_for_claim(run, step.requested_claim);
        }
        else if (step.kind == call_step_kind::attempt)
        {
            const auto result = co_await attempt(run, step);
            step =
                call_on_attempt(path, run.state, result, now(), thread.random);
            if (step.kind != call_step_kind::deliver)
            {
                cancel(*run.work);
            }
        }
        else
        {
            break;
        }
    }
    co_await finish(run, step);
    end_call(path, run.state, now());
    if (run.work)
    {
        cancel(*run.work);
    }
}

} // namespace cyclamenhold
