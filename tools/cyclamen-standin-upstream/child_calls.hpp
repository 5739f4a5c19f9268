// The child calls of a request: through the upstream's own node, or directly to
// other upstreams in comparison runs without nodes.
#pragma once

#include "work.hpp"

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace cyclamenhold
{

struct child_outcome
{
    // Zero when all calls succeeded; otherwise the HTTP status of the reply.
    unsigned failed_status = 0;
    // Headers of the failed reply that are passed on to the caller.
    std::vector<http_header> headers;
};

// Makes the calls in sequence and stops at the first that fails.
[[nodiscard]] boost::asio::awaitable<child_outcome> make_child_calls(
    upstream_state& upstream, const received_request& request,
    time_point deadline);

} // namespace cyclamenhold
