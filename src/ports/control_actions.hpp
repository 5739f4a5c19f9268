// The side effects that control subsystems request. The functions of a
// subsystem append to them; the adapters, or a fake in tests, carry them out.
#pragma once

#include "ports/events.hpp"
#include "ports/messages.hpp"
#include "ports/platform.hpp"

#include <vector>

namespace cyclamenhold
{

struct control_actions
{
    std::vector<outgoing_message> messages;
    std::vector<platform_call> platform_calls;
    std::vector<event> events;
};

} // namespace cyclamenhold
