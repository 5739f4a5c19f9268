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

// Gossiped as part of the member state of the upstream's host. A host has one
// upstream.
struct upstream_record
{
    std::string service;
    upstream_state state = upstream_state::absent;
    // The number of requests that the upstream announces it can run at once; a
    // hint.
    std::uint32_t slots = 0;
    // The number of connections that it accepts; a hard limit.
    std::uint32_t connections = 0;
    // Incremented by the host's node with each change, within its incarnation.
    std::uint64_t version = 0;
    // Requests a second that the upstream takes while it warms up; zero if they
    // are not limited.
    double cold_rate = 0.0;
    bool operator==(const upstream_record&) const = default;
};

// A usable upstream and its location: one candidate for a request.
struct upstream_location
{
    host_id host = host_id::none;
    incarnation host_incarnation = 0;
    data_centre_id data_centre = data_centre_id::none;
    upstream_record record;
};

// The load that an upstream's node reports with each reply and refusal.
struct load_report
{
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    // The gate's current concurrency limit.
    std::uint32_t limit = 0;
    // Mean latency of the requests there, including their child calls; zero
    // when unknown.
    duration latency{};
    admission_level level;
    // The most restrictive level that the calls below the request met.
    admission_level downstream;
};

} // namespace cyclamenhold
