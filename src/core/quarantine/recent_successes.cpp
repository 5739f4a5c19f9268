#include "core/quarantine/recent_successes.hpp"

namespace cyclamenhold
{

void record_success(
    recent_successes& successes, std::uint64_t digest, time_point now)
{
    successes.entries[digest % successes.entries.size()] = {digest, now};
}

bool has_recent_success(
    const recent_successes& successes, std::uint64_t digest, time_point now)
{
    const auto& entry = successes.entries[digest % successes.entries.size()];
    return entry.digest == digest && entry.at != time_point{} &&
           now - entry.at <= success_memory;
}

} // namespace cyclamenhold
