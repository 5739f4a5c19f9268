#include "core/gate/admission.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

constexpr duration window_length = 100ms;
// A slow service waits longer for enough requests to judge by.
constexpr duration max_window_length = 1s;
constexpr std::uint32_t min_window_offers = 20;
constexpr duration target_delay = 20ms;
// While overloaded, this much more than was served is let through, so that the
// queue never runs empty.
constexpr double admitted_share = 1.05;
// The level never closes below this, which keeps learning possible.
constexpr std::uint32_t min_open_positions = 1;
// The first calm window opens this many positions, each later one twice as
// many as the one before.
constexpr std::uint32_t first_opening = 4;
constexpr std::uint32_t max_doublings = 7;

// The number of positions whose offers add up to `wanted`.
std::uint32_t
positions_for(const admission_control& control, double wanted, double scale)
{
    double sum = 0.0;
    for (std::uint32_t position = 0; position < control.open; ++position)
    {
        sum += control.offered[position] * scale;
        if (sum > wanted)
        {
            return std::max(position, min_open_positions);
        }
    }
    return control.open;
}

void close_level(admission_control& control)
{
    double total = 0.0;
    for (const float count : control.offered)
    {
        total += count;
    }
    if (total <= 0.0)
    {
        return;
    }
    const double scale = control.window_offered / total;
    const double wanted = admitted_share * control.window_started_count;
    control.open = positions_for(control, wanted, scale);
}

void open_level(admission_control& control)
{
    const auto doublings = std::min(control.calm_windows, max_doublings);
    ++control.calm_windows;
    control.open = std::min(
        admission_position_count, control.open + (first_opening << doublings));
}

} // namespace

void admission_note_offer(
    admission_control& control, const request_context& context)
{
    control.offered[admission_position(context.priority, context.slot)] += 1.0F;
    ++control.window_offered;
}

void admission_note_start(admission_control& control, duration delay)
{
    ++control.window_started_count;
    control.window_delay += delay;
}

void admission_note_refusal(admission_control& control)
{
    ++control.window_refused;
}

void admission_tick(admission_control& control, time_point now)
{
    const duration elapsed = now - control.window_started;
    const bool few = control.window_offered < min_window_offers;
    if (elapsed < window_length || (few && elapsed < max_window_length))
    {
        return;
    }
    const auto started =
        std::max<std::uint32_t>(control.window_started_count, 1);
    control.overloaded = control.window_refused > 0 ||
                         control.window_delay / started > target_delay;
    if (control.overloaded)
    {
        control.calm_windows = 0;
        close_level(control);
    }
    else
    {
        open_level(control);
    }
    for (float& count : control.offered)
    {
        count /= 2;
    }
    control.window_started = now;
    control.window_offered = 0;
    control.window_started_count = 0;
    control.window_refused = 0;
    control.window_delay = {};
}

admission_level level_of(const admission_control& control)
{
    return level_at(control.open);
}

} // namespace cyclamenhold
