// Which requests have recently succeeded at the local upstream. A request that
// crashes each upstream that runs it never does, so those that have done are no
// suspects after a crash.
#pragma once

#include "core/base/time.hpp"

#include <cstdint>
#include <vector>

namespace cyclamenhold
{

// How long a success counts. The upstream may change, so that a request that
// succeeded long ago can crash it now.
constexpr duration success_memory = 10s;

// A table of fixed size with one place for each hash of a digest: a newer
// success replaces the one at its place.
struct recent_successes
{
    struct entry
    {
        std::uint64_t digest = 0;
        time_point at{};
    };
    std::vector<entry> entries = std::vector<entry>(2048);
};

void record_success(
    recent_successes& successes, std::uint64_t digest, time_point now);

[[nodiscard]] bool has_recent_success(
    const recent_successes& successes, std::uint64_t digest, time_point now);

} // namespace cyclamenhold
