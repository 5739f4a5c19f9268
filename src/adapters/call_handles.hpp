// The requests that run at the local upstream, by the opaque handle that the
// upstream passes back with its child calls. A handle dies with its request,
// and its child calls are cancelled with it. Thread-safe.
#pragma once

#include "adapters/exchange.hpp"
#include "core/request/call_record.hpp"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

struct running_request
{
    std::string handle;
    // What the child calls need and share: context, retry allowance, levels.
    std::shared_ptr<call_record> record;
    std::mutex mutex;
    bool ended = false;
    // Child calls under way.
    std::vector<std::weak_ptr<exchange>> children;
};

using running_request_ptr = std::shared_ptr<running_request>;

struct call_handles
{
    std::mutex mutex;
    std::unordered_map<std::string, running_request_ptr> running;
};

// Registers a request and gives it a fresh handle.
[[nodiscard]] running_request_ptr
begin_running(call_handles& handles, const request_context& context);

// Forgets the request and cancels its child calls.
void end_running(call_handles& handles, const running_request_ptr& request);

// The request of a handle, or nullptr when it has ended or never was.
[[nodiscard]] running_request_ptr
find_running(call_handles& handles, std::string_view handle);

// Ties a child call to its parent: cancelled with it, at once if it has ended.
void add_child(running_request& parent, const exchange_ptr& child);

} // namespace cyclamenhold
