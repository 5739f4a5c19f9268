// Selects the upstream for a request.
#pragma once

#include "core/base/random.hpp"
#include "core/base/request_context.hpp"
#include "core/base/time.hpp"
#include "core/placement/placement.hpp"
#include "core/routing/upstream.hpp"
#include "core/routing/upstream_stats.hpp"

#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

struct routing_candidate
{
    upstream_location location;
    std::shared_ptr<upstream_stats> stats;
};

// Immutable; published by the control thread when members change.
struct routing_view
{
    data_centre_id local_data_centre = data_centre_id::none;
    placement_view placement;
    std::unordered_map<service_id, std::vector<routing_candidate>> services;
};

// Builds the view of `locations`. Keeps the statistics of upstreams that
// `previous` holds in the same incarnation.
[[nodiscard]] routing_view build_routing_view(
    std::span<const upstream_location> locations,
    data_centre_id local_data_centre, const routing_view& previous,
    placement_view placement = {});

// Records for all upstreams of the host that it does not answer. Returns false
// when that was recorded for all of them already.
bool record_host_unreachable(
    const routing_view& view, host_id host, time_point now);

struct routing_choice
{
    // `none` when an upstream was selected.
    refusal reason = refusal::none;
    routing_candidate candidate;
    // The most permissive level of the service's usable upstreams.
    admission_level level;
    // The number of upstreams of the service, and of those that could be
    // selected.
    std::size_t known = 0;
    std::size_t usable = 0;
    // Of those known, the number in data centres where the request may not run.
    std::size_t excluded = 0;
};

// Selects an upstream for a request, avoiding the hosts in `tried` while there
// are others. Refuses with no_upstream or overloaded.
[[nodiscard]] routing_choice choose_upstream(
    const routing_view& view, const request_context& context,
    std::span<const host_id> tried, time_point now, random_source& random);

} // namespace cyclamenhold
