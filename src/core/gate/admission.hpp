// The admission level that a gate announces: the lowest (priority class, slot)
// it still accepts. Because the queue serves the more important class first, a
// class suffers only when there is too little for it and those above; so the
// level closes inside the most important class that suffers, never above it.
#pragma once

#include "core/base/request_context.hpp"
#include "core/base/time.hpp"
#include "core/gate/admission_position.hpp"

#include <array>
#include <cstdint>

namespace cyclamenhold
{

// What happened to one class in the present window.
struct class_window
{
    std::uint32_t started = 0;
    std::uint32_t refused = 0;
    duration delay{};
};

// Decaying counts of one class, the base of its next level.
struct class_demand
{
    // By slot.
    std::array<float, admission_slot_count> offered{};
    double started = 0.0;
};

struct admission_control
{
    // Positions below this are accepted.
    std::uint32_t open = admission_position_count;
    std::array<class_window, priority_class_count> windows;
    std::array<class_demand, priority_class_count> demands;
    time_point window_started{};
    std::uint32_t window_offered = 0;
    // Windows in a row in which no class that is let in suffered.
    std::uint32_t windows_without_overload = 0;
    // Some class suffered in the last window.
    bool overloaded = false;
};

void admission_record_offer(
    admission_control& control, const request_context& context);
void admission_record_start(
    admission_control& control, priority_class priority, duration delay);

// A request was refused or dropped for want of capacity.
void admission_record_refusal(
    admission_control& control, priority_class priority);

// Closes the window when it is over and moves the level. Requests may wait for
// a part of the upstream's mean latency before that counts as suffering.
void admission_tick(
    admission_control& control, duration mean_latency, time_point now);

[[nodiscard]] admission_level level_of(const admission_control& control);

} // namespace cyclamenhold
