// The admission level that a gate announces: the lowest (priority class, slot)
// it still accepts. The queue serves the more important class first, so a class
// is overloaded only when capacity is too small for it and the classes above.
// The level therefore closes inside the most important overloaded class, never
// above it.
#pragma once

#include "core/base/request_context.hpp"
#include "core/base/time.hpp"
#include "core/gate/admission_position.hpp"

#include <array>
#include <cstdint>

namespace cyclamenhold
{

// Counts of one class in the current window.
struct class_window
{
    std::uint32_t started = 0;
    std::uint32_t refused = 0;
    duration delay{};
};

// Decaying counts of one class, from which its next level is computed.
struct class_demand
{
    // Indexed by slot.
    std::array<float, admission_slot_count> offered{};
    double started = 0.0;
};

struct admission_control
{
    // Positions below this are accepted.
    std::uint32_t open_count = admission_position_count;
    std::array<class_window, priority_class_count> windows;
    std::array<class_demand, priority_class_count> demands;
    time_point window_started{};
    std::uint32_t window_offered = 0;
    // Consecutive windows in which no admitted class was overloaded.
    std::uint32_t windows_without_overload = 0;
    // Whether a class was overloaded in the last window.
    bool overloaded = false;
};

void admission_record_offer(
    admission_control& control, const request_context& context);
void admission_record_start(
    admission_control& control, priority_class priority, duration delay);

// Records a request that was refused or dropped for lack of capacity.
void admission_record_refusal(
    admission_control& control, priority_class priority);

// Ends the window once its length has passed, and moves the level. A class
// counts as overloaded only when its requests wait longer than a fraction of
// the upstream's mean latency.
void admission_tick(
    admission_control& control, duration mean_latency, time_point now);

[[nodiscard]] admission_level level_of(const admission_control& control);

} // namespace cyclamenhold
