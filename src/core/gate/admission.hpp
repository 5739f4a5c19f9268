// The admission level that a gate announces: the lowest (priority class, slot)
// it still accepts, moved so that the queueing delay stays near a target.
#pragma once

#include "core/base/request_context.hpp"
#include "core/base/time.hpp"
#include "core/gate/admission_position.hpp"

#include <array>
#include <cstdint>

namespace cyclamenhold
{

struct admission_control
{
    // Requests at positions below this are accepted.
    std::uint32_t open = admission_position_count;
    // Requests offered at each position, halved with each window.
    std::array<float, admission_position_count> offered{};
    time_point window_started{};
    std::uint32_t window_offered = 0;
    std::uint32_t window_started_count = 0;
    std::uint32_t window_refused = 0;
    duration window_delay{};
    // Windows in a row without overload.
    std::uint32_t calm_windows = 0;
    // The last full window was overloaded.
    bool overloaded = false;
};

void admission_note_offer(
    admission_control& control, const request_context& context);
void admission_note_start(admission_control& control, duration delay);

// A request was refused or dropped for want of capacity.
void admission_note_refusal(admission_control& control);

// Closes the window when it is over and moves the level.
void admission_tick(admission_control& control, time_point now);

[[nodiscard]] admission_level level_of(const admission_control& control);

} // namespace cyclamenhold
