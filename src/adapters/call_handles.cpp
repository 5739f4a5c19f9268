#include "adapters/call_handles.hpp"

#include "adapters/peer_handshake.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace cyclamenhold
{
namespace
{

constexpr std::size_t handle_bytes = 16;

std::string make_handle()
{
    const handshake_nonce random = make_nonce();
    std::string text;
    for (std::size_t i = 0; i < handle_bytes; ++i)
    {
        std::array<char, 3> digits{};
        std::snprintf(digits.data(), digits.size(), "%02x", random[i]);
        text += digits.data();
    }
    return text;
}

} // namespace

running_request_ptr
begin_running(call_handles& handles, const request_context& context)
{
    auto request = std::make_shared<running_request>();
    request->handle = make_handle();
    request->record = std::make_shared<call_record>(context);
    const std::scoped_lock lock(handles.mutex);
    handles.running.emplace(request->handle, request);
    return request;
}

void end_running(call_handles& handles, const running_request_ptr& request)
{
    {
        const std::scoped_lock lock(handles.mutex);
        handles.running.erase(request->handle);
    }
    std::vector<std::weak_ptr<exchange>> children;
    {
        const std::scoped_lock lock(request->mutex);
        request->ended = true;
        children.swap(request->children);
    }
    for (const auto& child : children)
    {
        if (const auto work = child.lock())
        {
            cancel(*work);
        }
    }
}

running_request_ptr find_running(call_handles& handles, std::string_view handle)
{
    const std::scoped_lock lock(handles.mutex);
    const auto found = handles.running.find(std::string(handle));
    return found == handles.running.end() ? nullptr : found->second;
}

void add_child(running_request& parent, const exchange_ptr& child)
{
    {
        const std::scoped_lock lock(parent.mutex);
        if (!parent.ended)
        {
            std::erase_if(
                parent.children,
                [](const std::weak_ptr<exchange>& entry)
                {
                    return entry.expired();
                });
            parent.children.push_back(child);
            return;
        }
    }
    cancel(*child);
}

} // namespace cyclamenhold
