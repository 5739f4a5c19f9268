#include "adapters/settings.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

// The rest of a bound is for the node's own delays: timers that fire late, and
// the end of the process.
constexpr double used_part_of_bound = 0.9;

// After this time the readiness probes, one a second, have redirected callers:
// a node is taken out after two that fail.
constexpr double redirection_seconds = 3.0;

std::chrono::milliseconds within(double bound_seconds)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(bound_seconds * used_part_of_bound));
}

} // namespace

std::chrono::milliseconds max_key_staleness_of(const node_settings& settings)
{
    return settings.key_revocation_seconds > 0.0
               ? within(settings.key_revocation_seconds)
               : settings.max_key_staleness;
}

std::chrono::milliseconds stop_timeout_of(const node_settings& settings)
{
    return settings.stop_grace_seconds > 0.0
               ? within(settings.stop_grace_seconds)
               : settings.stop_timeout;
}

std::chrono::milliseconds acceptance_time_of(const node_settings& settings)
{
    return std::min(stop_timeout_of(settings) / 2, within(redirection_seconds));
}

} // namespace cyclamenhold
