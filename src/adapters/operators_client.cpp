#include "adapters/operators_client.hpp"

#include "adapters/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace cyclamenhold
{
namespace
{

namespace asio = boost::asio;

http_call
call_of(const operators_request& request, const operators_access& access)
{
    http_call call;
    call.method = request.method;
    call.target = request.target;
    call.body = request.body;
    call.timeout = access.timeout;
    if (!access.credential.empty())
    {
        call.headers.push_back(
            {"Authorization", "Bearer " + access.credential});
    }
    if (!request.body.empty())
    {
        call.headers.push_back({"Content-Type", "application/json"});
    }
    return call;
}

absl::StatusOr<operators_reply>
reply_of(const ip_endpoint& node, http_result result)
{
    switch (result.status)
    {
    case http_call_status::answered:
        break;
    case http_call_status::not_sent:
        return absl::UnavailableError(
            to_string(node) + " could not be reached");
    case http_call_status::broken:
        return absl::DeadlineExceededError(
            to_string(node) + " closed the connection without an answer");
    case http_call_status::timed_out:
        return absl::DeadlineExceededError(
            to_string(node) + " sent no answer before the timeout");
    }
    if (result.body_bytes > result.body.size())
    {
        return absl::ResourceExhaustedError(
            to_string(node) + " sent an answer that is too long");
    }
    return operators_reply{result.http_status, std::move(result.body)};
}

asio::awaitable<void> send_call(
    ip_endpoint node, http_call call, absl::StatusOr<operators_reply>& answer)
{
    http_pool pool(
        co_await asio::this_coro::executor,
        {asio::ip::address_v4(node.address), node.port}, 1);
    answer = reply_of(node, co_await http_send(pool, std::move(call)));
}

} // namespace

std::vector<absl::StatusOr<operators_reply>> call_nodes(
    const std::vector<ip_endpoint>& nodes, const operators_request& request,
    const operators_access& access)
{
    std::vector<absl::StatusOr<operators_reply>> answers(
        nodes.size(), absl::UnknownError("no answer"));
    asio::io_context context(1);
    for (std::size_t index = 0; index < nodes.size(); ++index)
    {
        asio::co_spawn(
            context,
            send_call(nodes[index], call_of(request, access), answers[index]),
            asio::detached);
    }
    context.run();
    return answers;
}

absl::StatusOr<operators_reply> call_node(
    const ip_endpoint& node, const operators_request& request,
    const operators_access& access)
{
    return call_nodes({node}, request, access).front();
}

} // namespace cyclamenhold
