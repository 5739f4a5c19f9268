// Upstreams as their nodes announce them to the fleet.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/names.hpp"
#include "core/base/request_context.hpp"
#include "core/base/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenhold
{

enum class upstream_state : std::uint8_t
{
    absent,
    // Announced less than its warm-up time ago.
    warming,
    serving,
    draining
};

template <>
struct enum_names<upstream_state>
{
    static constexpr std::array<std::pair<upstream_state, std::string_view>, 4>
        table{
            {{upstream_state::absent, "absent"},
             {upstream_state::warming, "warming"},
             {upstream_state::serving, "serving"},
             {upstream_state::draining, "draining"}}};
};

// Travels as member state of the host that the upstream runs on: a host has
// one upstream.
struct upstream_record
{
    std::string service;
    upstream_state state = upstream_state::absent;
    // Requests the upstream says it can run at once; a hint.
    std::uint32_t slots = 0;
    // Connections it accepts; a hard limit.
    std::uint32_t connections = 0;
    // Grows with each change by the host's node, within its incarnation.
    std::uint64_t version = 0;
    bool operator==(const upstream_record&) const = default;
};

// One candidate for a request: a usable upstream and where it is.
struct upstream_location
{
    host_id host = host_id::none;
    incarnation host_incarnation = 0;
    data_centre_id data_centre = data_centre_id::none;
    upstream_record record;
};

// The load an upstream's node reports on each reply and refusal.
struct load_report
{
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    // The gate's present concurrency limit.
    std::uint32_t limit = 0;
    // Mean latency of what runs there, its calls included; zero when unknown.
    duration latency{};
    admission_level level;
    // The most restrictive level that the calls below the request met.
    admission_level downstream;
};

} // namespace cyclamenhold
