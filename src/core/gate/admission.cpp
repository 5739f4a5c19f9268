#include "core/gate/admission.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace cyclamenhold
{
namespace
{

constexpr duration window_length = 100ms;
constexpr duration min_target_delay = 20ms;
// A class suffers when its requests wait longer than this part of the mean
// latency.
constexpr int target_latency_divisor = 4;
// The counts keep about so many requests in memory, within bounds.
constexpr double remembered_requests = 100.0;
constexpr double min_decay = 0.8;
constexpr double max_decay = 0.97;
// While a class suffers, this much more than was started is let through, so
// that the queue does not run empty.
constexpr double admitted_share = 1.05;
// When the offers are no more than that and it still suffers, a small step.
constexpr double small_step = 0.97;
// The first calm window opens this many positions, each later one twice as
// many as the one before.
constexpr std::uint32_t first_opening = 1;
constexpr std::uint32_t max_doublings = 6;
// The level never closes below this, which keeps learning possible.
constexpr std::uint32_t min_open_positions = 1;

bool suffers(const class_window& window, duration target)
{
    const std::uint32_t started = std::max<std::uint32_t>(window.started, 1);
    return window.refused > 0 || window.delay / started > target;
}

std::optional<std::size_t>
first_suffering(const admission_control& control, duration target)
{
    for (std::size_t i = 0; i < priority_class_count; ++i)
    {
        if (suffers(control.windows[i], target))
        {
            return i;
        }
    }
    return std::nullopt;
}

// The number of slots whose offers add up to what may be let through.
std::uint32_t slots_for(const class_demand& demand, std::uint32_t open_slots)
{
    const double wanted = demand.started * admitted_share;
    double sum = 0.0;
    for (std::uint32_t slot = 0; slot < open_slots; ++slot)
    {
        sum += demand.offered[slot];
        if (sum > wanted)
        {
            return slot;
        }
    }
    return static_cast<std::uint32_t>(open_slots * small_step);
}

void close_level(admission_control& control, std::size_t suffering)
{
    const auto first =
        static_cast<std::uint32_t>(suffering * admission_slot_count);
    // A class that is not let in suffers from what its callers have not heard
    // yet; that moves nothing.
    if (control.open <= first)
    {
        return;
    }
    const std::uint32_t open_slots =
        std::min<std::uint32_t>(control.open - first, admission_slot_count);
    control.open = std::max(
        min_open_positions,
        first + slots_for(control.demands[suffering], open_slots));
    control.calm_windows = 0;
}

void open_level(admission_control& control)
{
    const auto doublings = std::min(control.calm_windows, max_doublings);
    ++control.calm_windows;
    control.open = std::min(
        admission_position_count, control.open + (first_opening << doublings));
}

void remember(admission_control& control)
{
    const double decay = std::clamp(
        std::exp(-control.window_offered / remembered_requests), min_decay,
        max_decay);
    for (std::size_t i = 0; i < priority_class_count; ++i)
    {
        class_demand& demand = control.demands[i];
        demand.started += control.windows[i].started;
        demand.started *= decay;
        for (float& count : demand.offered)
        {
            count *= static_cast<float>(decay);
        }
        control.windows[i] = {};
    }
    control.window_offered = 0;
}

std::size_t index_of(priority_class priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace

void admission_note_offer(
    admission_control& control, const request_context& context)
{
    const std::size_t slot =
        std::min<std::size_t>(context.slot, admission_slot_count - 1);
    control.demands[index_of(context.priority)].offered[slot] += 1.0F;
    ++control.window_offered;
}

void admission_note_start(
    admission_control& control, priority_class priority, duration delay)
{
    class_window& window = control.windows[index_of(priority)];
    ++window.started;
    window.delay += delay;
}

void admission_note_refusal(admission_control& control, priority_class priority)
{
    ++control.windows[index_of(priority)].refused;
}

void admission_tick(
    admission_control& control, duration mean_latency, time_point now)
{
    if (now - control.window_started < window_length)
    {
        return;
    }
    control.window_started = now;
    const duration target =
        std::max(min_target_delay, mean_latency / target_latency_divisor);
    const auto suffering = first_suffering(control, target);
    control.overloaded = suffering.has_value();
    if (!suffering)
    {
        open_level(control);
    }
    else
    {
        close_level(control, *suffering);
    }
    remember(control);
}

admission_level level_of(const admission_control& control)
{
    return level_at(control.open);
}

} // namespace cyclamenhold
