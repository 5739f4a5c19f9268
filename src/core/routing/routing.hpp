// Which upstream a request goes to.
#pragma once

#include "core/base/random.hpp"
#include "core/base/request_context.hpp"
#include "core/base/time.hpp"
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
    std::unordered_map<service_id, std::vector<routing_candidate>> services;
};

// Builds the view of `locations`, keeping the statistics of upstreams that
// `previous` knew in the same incarnation.
[[nodiscard]] routing_view build_routing_view(
    std::span<const upstream_location> locations,
    data_centre_id local_data_centre, const routing_view& previous);

// Notes that the host does not answer, for all upstreams there. False when that
// was known of all of them.
bool record_host_unreachable(
    const routing_view& view, host_id host, time_point now);

struct routing_choice
{
    // `none` when an upstream was chosen.
    refusal reason = refusal::none;
    routing_candidate candidate;
    // The most permissive level of the service's usable upstreams.
    admission_level level;
    // Upstreams of the service, and those of them that could be chosen.
    std::size_t known = 0;
    std::size_t usable = 0;
};

// Chooses an upstream for a request, avoiding the hosts in `tried` while there
// are others. Refuses with no_upstream or overloaded.
[[nodiscard]] routing_choice choose_upstream(
    const routing_view& view, const request_context& context,
    std::span<const host_id> tried, time_point now, random_source& random);

} // namespace cyclamenhold
