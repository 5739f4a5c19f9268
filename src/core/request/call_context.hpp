// The context that a call travels with.
#pragma once

#include "core/request/call.hpp"

namespace cyclamenhold
{

// Fills the context from the route and, for a child call, from the parent, of
// whose record it takes a share of the retry allowance.
void fill_context(
    request_path& path, call_state& call, const call_request& request,
    const route_entry& route, workspace_id workspace, time_point now,
    random_source& random);

} // namespace cyclamenhold
