// The child calls of a request: through the upstream's own node, or straight
// to other upstreams in comparison runs.
#pragma once

#include "work.hpp"

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace cyclamenhold
{

struct child_outcome
{
    // Zero when all calls were answered well; otherwise what to answer.
    unsigned failed_status = 0;
    // Headers of the failed reply that the caller should see.
    std::vector<http_header> headers;
};

// Makes the calls one after the other and stops at the first that fails.
[[nodiscard]] boost::asio::awaitable<child_outcome> make_child_calls(
    upstream_state& upstream, const received_request& request,
    time_point deadline);

} // namespace cyclamenhold
