// Builds the request context of a call.
#pragma once

#include "core/request/call.hpp"

namespace cyclamenhold
{

// Fills the context from the route and, for a child call, from the parent. A
// child call takes a share of the retry allowance from the parent's record.
void fill_context(
    request_path& path, call_state& call, const call_request& request,
    const route_entry& route, workspace_id workspace, time_point now,
    random_source& random);

} // namespace cyclamenhold
