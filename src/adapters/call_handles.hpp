// Requests that run at the local upstream, indexed by the opaque handle that
// the upstream sends back with its child calls. A handle expires with its
// request, and the child calls are cancelled with it. Thread-safe.
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
    // State shared with the child calls: context, retry allowance, levels.
    std::shared_ptr<call_record> record;
    std::mutex mutex;
    bool ended = false;
    // Child calls in progress.
    std::vector<std::weak_ptr<exchange>> children;
};

using running_request_ptr = std::shared_ptr<running_request>;

struct call_handles
{
    std::mutex mutex;
    std::unordered_map<std::string, running_request_ptr> running;
};

// Registers a request under a new random handle.
[[nodiscard]] running_request_ptr
begin_running(call_handles& handles, const request_context& context);

// Removes the request and cancels its child calls.
void end_running(call_handles& handles, const running_request_ptr& request);

// The request of a handle; nullptr when the request has ended or the handle is
// unknown.
[[nodiscard]] running_request_ptr
find_running(call_handles& handles, std::string_view handle);

// Registers a child call, which is cancelled when its parent ends, or at once
// if the parent has ended.
void add_child(running_request& parent, const exchange_ptr& child);

} // namespace cyclamenhold
