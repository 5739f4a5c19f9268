// The log's lines about decisions: what happened to single requests, and what
// the node has come to believe. At most so many a second; those beyond are
// counted and the count is logged, so that a busy node neither waits for its
// log nor hides that lines are missing.
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

// Writes the line of an event, unless it is of a kind that is not logged.
void log_decision(
    decision_log& decisions, const json_log& log, const event& seen);

} // namespace cyclamenhold
