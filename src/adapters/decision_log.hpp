// Log lines about decisions: outcomes of single requests, and changes of the
// node's view of the fleet. Lines about requests are limited per second. Lines
// beyond the limit are counted and the count is logged, so that a busy node
// does not block on its log and missing lines are visible.
#pragma once

#include "adapters/logging.hpp"
#include "core/base/time.hpp"
#include "ports/events.hpp"

#include <cstdint>
#include <mutex>

namespace cyclamenhold
{

struct decision_log
{
    std::uint32_t max_lines_per_second = 50;

    std::mutex mutex;
    // Guarded by mutex.
    time_point second_started{};
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
};

// Logs an event, unless it is routine, of a kind that is not logged, or about a
// request and beyond the limit.
void log_decision(
    decision_log& decisions, const json_log& log, const event& what);

} // namespace cyclamenhold
