// Draws the admission slot of a root request so that a closing level limits
// workspaces fairly: below any slot, each workspace has at most the same rate.
// Thread-safe.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/outcome.hpp"
#include "core/base/random.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <map>
#include <mutex>

namespace cyclamenhold
{

// Exponentially decaying count of the requests of one workspace in one class.
struct arrival_count
{
    double value = 0.0;
    time_point at{};
};

struct fair_slots
{
    std::mutex mutex;
    std::map<std::pair<priority_class, workspace_id>, arrival_count> arrivals;
    // The largest count of each class at the time of the newest request.
    std::map<priority_class, arrival_count> largest;
};

// Counts a root request and draws its slot, in [0, admission_slot_count):
// uniform up to the workspace's rate relative to the largest rate.
[[nodiscard]] std::uint16_t draw_slot(
    fair_slots& slots, workspace_id workspace, priority_class priority,
    time_point now, random_source& random);

} // namespace cyclamenhold
