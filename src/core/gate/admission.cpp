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
// A class is overloaded when its requests wait on average longer than the mean
// latency divided by this.
constexpr int target_latency_divisor = 4;
// The counts decay so that they cover about this many requests, within the
// bounds below.
constexpr double decay_requests = 100.0;
constexpr double min_decay = 0.8;
constexpr double max_decay = 0.97;
// While a class is overloaded, the level admits this multiple of the requests
// that started, so that the queue does not run empty.
constexpr double start_headroom = 1.05;
// Applied to the open slots when the offered requests are within that bound and
// the class is still overloaded.
constexpr double fallback_close_factor = 0.97;
// Positions opened by the first window without overload; each later window
// opens twice as many as the one before.
constexpr std::uint32_t initial_open_step = 1;
constexpr std::uint32_t max_doublings = 6;
// The level never closes below this, so that some requests still start and the
// counts stay current.
constexpr std::uint32_t min_open_positions = 1;

bool is_class_overloaded(const class_window& window, duration target)
{
    const std::uint32_t started = std::max<std::uint32_t>(window.started, 1);
    return window.refused > 0 || window.delay / started > target;
}

std::optional<std::size_t>
first_overloaded_class(const admission_control& control, duration target)
{
    for (std::size_t i = 0; i < priority_class_count; ++i)
    {
        if (is_class_overloaded(control.windows[i], target))
        {
            return i;
        }
    }
    return std::nullopt;
}

// Returns the number of slots whose offered requests add up to the number that
// may be admitted.
std::uint32_t slots_for(const class_demand& demand, std::uint32_t open_slots)
{
    const double wanted = demand.started * start_headroom;
    double sum = 0.0;
    for (std::uint32_t slot = 0; slot < open_slots; ++slot)
    {
        sum += demand.offered[slot];
        if (sum > wanted)
        {
            return slot;
        }
    }
    return static_cast<std::uint32_t>(open_slots * fallback_close_factor);
}

void close_level(admission_control& control, std::size_t overloaded_class)
{
    const auto first =
        static_cast<std::uint32_t>(overloaded_class * admission_slot_count);
    // When the whole class is already closed, the requests that overload it
    // come from callers that have not received the level yet. Closing further
    // would not help.
    if (control.open_count <= first)
    {
        return;
    }
    const std::uint32_t open_slots = std::min<std::uint32_t>(
        control.open_count - first, admission_slot_count);
    control.open_count = std::max(
        min_open_positions,
        first + slots_for(control.demands[overloaded_class], open_slots));
    control.windows_without_overload = 0;
}

void open_level(admission_control& control)
{
    const auto doublings =
        std::min(control.windows_without_overload, max_doublings);
    ++control.windows_without_overload;
    control.open_count = std::min(
        admission_position_count,
        control.open_count + (initial_open_step << doublings));
}

void decay_counts(admission_control& control)
{
    const double decay = std::clamp(
        std::exp(-control.window_offered / decay_requests), min_decay,
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

void admission_record_offer(
    admission_control& control, const request_context& context)
{
    const std::size_t slot =
        std::min<std::size_t>(context.slot, admission_slot_count - 1);
    control.demands[index_of(context.priority)].offered[slot] += 1.0F;
    ++control.window_offered;
}

void admission_record_start(
    admission_control& control, priority_class priority, duration delay)
{
    class_window& window = control.windows[index_of(priority)];
    ++window.started;
    window.delay += delay;
}

void admission_record_refusal(
    admission_control& control, priority_class priority)
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
    const auto overloaded_class = first_overloaded_class(control, target);
    control.overloaded = overloaded_class.has_value();
    if (!overloaded_class)
    {
        open_level(control);
    }
    else
    {
        close_level(control, *overloaded_class);
    }
    decay_counts(control);
}

admission_level level_of(const admission_control& control)
{
    return level_at(control.open_count);
}

} // namespace cyclamenhold
