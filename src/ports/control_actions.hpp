// What the control subsystems ask the world to do. Each function of such a
// subsystem appends to this; the adapters, or a test's fake, carry it out.
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
