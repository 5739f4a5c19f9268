// What one host counts of call trees: the root requests that enter there, the
// requests that its upstream runs, and the calls that these make.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/outcome.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <tuple>

namespace cyclamenhold
{

// Root requests are admitted by their route, the service that was drawn for
// them and their class.
struct tree_key
{
    route_id route = route_id::none;
    service_id service = service_id::none;
    priority_class priority = priority_class::normal;
    bool operator==(const tree_key&) const = default;
    std::strong_ordering operator<=>(const tree_key& other) const
    {
        return std::tie(route, service, priority) <=>
               std::tie(other.route, other.service, other.priority);
    }
};

// Requests of one route that the host's upstream answered with success.
struct run_counts
{
    std::uint64_t runs = 0;
    // How long they held a slot, with the time in which they waited for calls.
    std::uint64_t slot_us = 0;
    // Their calls, by the route of the call.
    std::map<route_id, std::uint64_t> calls;
    bool operator==(const run_counts&) const = default;
};

// All counts grow from the start of the process, so that a lost report loses
// nothing.
struct host_counts
{
    // The service of the upstream, and the requests that it may run at once
    // now.
    service_id service = service_id::none;
    std::uint32_t limit = 0;
    // Calls that the gate started, and those that it refused for lack of
    // capacity.
    std::uint64_t started_calls = 0;
    std::uint64_t refused_calls = 0;
    std::map<route_id, run_counts> runs;
    std::map<tree_key, std::uint64_t> arrivals;
    bool operator==(const host_counts&) const = default;
};

} // namespace cyclamenhold
