#include "work.hpp"

#include "adapters/clock.hpp"
#include "child_calls.hpp"
#include "crash.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cyclamenhold
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc() || position != end)
    {
        return std::nullopt;
    }
    return value;
}

// The deadline from the request's header, at most 24 h from now; 24 h from now
// without the header.
time_point deadline_of(const received_request& request)
{
    const auto remaining =
        parse_number(header_value(request.headers, "Cyclamen-Deadline-Ms"));
    constexpr std::uint64_t max_remaining_ms = 24ULL * 3600 * 1000;
    if (!remaining)
    {
        return now() + std::chrono::milliseconds(max_remaining_ms);
    }
    return now() +
           std::chrono::milliseconds(std::min(*remaining, max_remaining_ms));
}

std::string marker_of(const received_request& request)
{
    std::string marker = query_value(request.query, "marker");
    if (marker.empty())
    {
        marker = header_value(request.headers, "X-Request-Marker");
    }
    return marker;
}

bool is_poisoned(const received_request& request)
{
    return !header_value(request.headers, "X-Poison").empty() ||
           request.body_start.find(poison_marker) != std::string::npos;
}

reply_plan plain_reply(unsigned status, std::string text)
{
    reply_plan plan;
    plan.status = status;
    plan.body = std::move(text);
    return plan;
}

reply_plan shed(upstream_state& upstream)
{
    ++upstream.counts.shed;
    return plain_reply(503, "shed\n");
}

// The newest sample that is at least as old as the simulated lag.
load_sample lagged_sample(upstream_state& upstream)
{
    const time_point at = now();
    load_sample selected{
        at, in_flight(upstream), upstream.slots.waiters.size()};
    if (upstream.faults.lag == duration::zero())
    {
        return selected;
    }
    for (const load_sample& sample : upstream.samples)
    {
        if (sample.at <= at - upstream.faults.lag)
        {
            selected = sample;
        }
    }
    return selected;
}

reply_plan show_health(upstream_state& upstream)
{
    const load_sample sample = lagged_sample(upstream);
    const bool healthy = sample.in_flight < upstream.settings.slots;
    const bool reported_healthy = healthy != upstream.faults.inverts_reports;
    return plain_reply(
        reported_healthy ? 200 : 503,
        reported_healthy ? "ok\n" : "overloaded\n");
}

reply_plan show_load(upstream_state& upstream)
{
    const load_sample sample = lagged_sample(upstream);
    const std::size_t slots = upstream.settings.slots;
    json::object object;
    object["slots"] = slots;
    object["in_flight"] = upstream.faults.inverts_reports
                              ? slots - sample.in_flight
                              : sample.in_flight;
    object["queued"] = upstream.faults.inverts_reports ? 0 : sample.queued;
    return plain_reply(200, json::serialize(object));
}

// Logs the end of a request: finished, or aborted when its coroutine is
// destroyed or its deadline passes before it finishes.
class scoped_request_log
{
public:
    scoped_request_log(
        upstream_state& upstream, std::shared_ptr<logged_request> entry)
        : upstream_(&upstream), entry_(std::move(entry))
    {
    }
    ~scoped_request_log()
    {
        if (!ended_)
        {
            log_request_end(*upstream_, *entry_, true);
        }
    }
    scoped_request_log(const scoped_request_log&) = delete;
    scoped_request_log& operator=(const scoped_request_log&) = delete;
    void finish()
    {
        ended_ = true;
        log_request_end(*upstream_, *entry_, false);
    }

private:
    upstream_state* upstream_;
    std::shared_ptr<logged_request> entry_;
    bool ended_ = false;
};

reply_plan make_reply(const received_request& request)
{
    reply_plan plan;
    plan.headers.push_back(
        {"X-Request-Checksum", checksum_text(request.body_hash)});
    plan.headers.push_back(
        {"Cyclamen-Request-Bytes", std::to_string(request.body_bytes)});
    const auto requested =
        parse_number(query_value(request.query, "reply_bytes"));
    if (requested)
    {
        plan.pattern_bytes = std::min(*requested, max_reply_bytes);
        return plan;
    }
    if (request.body_bytes <= max_echoed_body_bytes)
    {
        plan.body = request.body_start;
    }
    return plan;
}

// Waits for the service time. Returns false when the deadline passes first.
asio::awaitable<bool> work(upstream_state& upstream, time_point deadline)
{
    const time_point start = now();
    const time_point done = start + draw_service_time(upstream, start);
    if (done > start)
    {
        asio::steady_timer timer(upstream.context, std::min(done, deadline));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return done <= deadline;
}

asio::awaitable<reply_plan> run_in_slot(
    upstream_state& upstream, const received_request& request,
    time_point deadline)
{
    scoped_request_log entry(
        upstream,
        log_request_start(
            upstream, marker_of(request), request.path, request.body_bytes));
    if (is_poisoned(request))
    {
        crash(upstream);
        reply_plan plan;
        plan.drop = true;
        co_return plan;
    }
    if (!co_await work(upstream, deadline))
    {
        co_return plain_reply(504, "deadline exceeded\n");
    }
    const child_outcome children =
        co_await make_child_calls(upstream, request, deadline);
    if (children.failed_status != 0)
    {
        reply_plan plan =
            plain_reply(children.failed_status, "a child call failed\n");
        plan.headers = children.headers;
        entry.finish();
        co_return plan;
    }
    entry.finish();
    co_return make_reply(request);
}

} // namespace

asio::awaitable<reply_plan>
run_request(upstream_state& upstream, const received_request& request)
{
    if (request.path == "/health")
    {
        co_return show_health(upstream);
    }
    if (request.path == "/load")
    {
        co_return show_load(upstream);
    }
    ++upstream.counts.received;
    upstream.last_request_at = now();
    const bool queue_full =
        upstream.slots.available == 0 &&
        upstream.slots.waiters.size() >= upstream.settings.queue;
    if (queue_full ||
        (upstream.faults.shed_share > 0.0 &&
         random_fraction(upstream.random) < upstream.faults.shed_share))
    {
        co_return shed(upstream);
    }
    const time_point deadline = deadline_of(request);
    if (!co_await acquire(upstream.slots, deadline))
    {
        ++upstream.counts.expired;
        co_return plain_reply(504, "deadline exceeded in the queue\n");
    }
    const semaphore_permit permit(upstream.slots);
    co_return co_await run_in_slot(upstream, request, deadline);
}

std::string query_value(std::string_view query, std::string_view name)
{
    for (const std::string& part : split(query, '&'))
    {
        const auto equals = part.find('=');
        if (equals != std::string::npos && part.substr(0, equals) == name)
        {
            return part.substr(equals + 1);
        }
    }
    return {};
}

} // namespace cyclamenhold
