#include "child_calls.hpp"

#include "adapters/clock.hpp"

#include <algorithm>
#include <optional>

namespace cyclamenhold
{
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr unsigned status_bad_gateway = 502;

std::vector<std::string>
child_paths_of(const upstream_state& upstream, const received_request& request)
{
    const std::string requested = query_value(request.query, "calls");
    return requested.empty() ? upstream.settings.calls : split(requested, ',');
}

// A random endpoint of the first service whose prefix matches the path.
std::optional<tcp::endpoint>
direct_endpoint(upstream_state& upstream, std::string_view path)
{
    for (const direct_service& service : upstream.settings.direct)
    {
        if (path.starts_with(service.path_prefix) && !service.endpoints.empty())
        {
            const auto index =
                random_below(upstream.random, service.endpoints.size());
            return service.endpoints[index];
        }
    }
    return std::nullopt;
}

http_call make_call(
    const received_request& request, const std::string& path,
    duration remaining)
{
    http_call call;
    call.method = "POST";
    call.target = path;
    const std::string marker = query_value(request.query, "marker");
    if (!marker.empty())
    {
        call.target += path.find('?') == std::string::npos ? '?' : '&';
        call.target += "marker=" + marker;
    }
    // An opaque handle; the node derives the rest of the call's context from
    // it.
    const auto handle = header_value(request.headers, "Cyclamen-Call");
    if (!handle.empty())
    {
        call.headers.push_back({"Cyclamen-Call", std::string(handle)});
    }
    call.headers.push_back(
        {"Cyclamen-Deadline-Ms", std::to_string(to_milliseconds(remaining))});
    call.headers.push_back({"Content-Type", "application/octet-stream"});
    call.body = "child";
    call.timeout = remaining;
    return call;
}

bool is_success(const http_result& result)
{
    return result.status == http_call_status::answered &&
           result.http_status < 400;
}

asio::awaitable<http_result> make_one_call(
    upstream_state& upstream, const received_request& request,
    const std::string& path, time_point deadline)
{
    http_result result;
    // One attempt through a node, since the node retries.
    const auto direct = direct_endpoint(upstream, path);
    const std::uint32_t retries = direct ? upstream.settings.child_retries : 0;
    for (std::uint32_t attempt = 0; attempt <= retries; ++attempt)
    {
        const auto endpoint = direct_endpoint(upstream, path);
        const duration remaining =
            std::min(deadline - now(), upstream.settings.child_timeout);
        if ((!endpoint && !upstream.settings.node) ||
            remaining <= duration::zero())
        {
            break;
        }
        auto& pool =
            pool_for(upstream, endpoint ? *endpoint : *upstream.settings.node);
        ++upstream.counts.child_calls;
        auto call = make_call(request, path, remaining);
        result = co_await http_send(pool, std::move(call));
        if (is_success(result))
        {
            break;
        }
        ++upstream.counts.failed_child_calls;
    }
    co_return result;
}

child_outcome failure_of(const http_result& result)
{
    child_outcome outcome;
    outcome.failed_status = status_bad_gateway;
    if (result.status != http_call_status::answered)
    {
        return outcome;
    }
    // Passes on refusals and timeouts as they are, so that the caller can wait
    // for the time in Retry-After.
    if (result.http_status == 429 || result.http_status == 503 ||
        result.http_status == 504)
    {
        outcome.failed_status = result.http_status;
    }
    const auto retry_after = header_value(result.headers, "Retry-After");
    if (!retry_after.empty())
    {
        outcome.headers.push_back({"Retry-After", std::string(retry_after)});
    }
    return outcome;
}

} // namespace

asio::awaitable<child_outcome> make_child_calls(
    upstream_state& upstream, const received_request& request,
    time_point deadline)
{
    for (const std::string& path : child_paths_of(upstream, request))
    {
        const http_result result =
            co_await make_one_call(upstream, request, path, deadline);
        if (!is_success(result))
        {
            co_return failure_of(result);
        }
    }
    co_return child_outcome{};
}

} // namespace cyclamenhold
