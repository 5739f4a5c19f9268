#include "core/routing/routing.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

std::shared_ptr<upstream_stats>
stats_of(const upstream_location& location, const routing_view& previous)
{
    const auto found =
        previous.services.find(service_id_of(location.record.service));
    if (found != previous.services.end())
    {
        for (const auto& candidate : found->second)
        {
            if (candidate.location.host == location.host &&
                candidate.location.host_incarnation ==
                    location.host_incarnation)
            {
                return candidate.stats;
            }
        }
    }
    return std::make_shared<upstream_stats>();
}

bool is_usable(const routing_candidate& candidate)
{
    const auto state = candidate.location.record.state;
    return state == upstream_state::serving || state == upstream_state::warming;
}

std::uint32_t load_of(const routing_candidate& candidate)
{
    return candidate.stats->outstanding.load(std::memory_order_relaxed) +
           candidate.stats->reported_load.load(std::memory_order_relaxed);
}

} // namespace

routing_view build_routing_view(
    std::span<const upstream_location> locations,
    data_centre_id local_data_centre, const routing_view& previous)
{
    routing_view view;
    view.local_data_centre = local_data_centre;
    for (const auto& location : locations)
    {
        if (location.record.state != upstream_state::absent)
        {
            view.services[service_id_of(location.record.service)].push_back(
                {location, stats_of(location, previous)});
        }
    }
    return view;
}

routing_choice choose_upstream(
    const routing_view& view, const request_context& context,
    std::span<const host_id> tried, time_point /*now*/, random_source& random)
{
    const auto found = view.services.find(context.service);
    if (found == view.services.end())
    {
        return {refusal::no_upstream, {}};
    }
    std::vector<const routing_candidate*> local;
    std::vector<const routing_candidate*> remote;
    for (const auto& candidate : found->second)
    {
        if (!is_usable(candidate) ||
            std::ranges::find(tried, candidate.location.host) != tried.end())
        {
            continue;
        }
        const bool is_local =
            candidate.location.data_centre == view.local_data_centre;
        (is_local ? local : remote).push_back(&candidate);
    }
    const auto& usable = local.empty() ? remote : local;
    if (usable.empty())
    {
        return {refusal::no_upstream, {}};
    }
    const auto* first = usable[random_below(random, usable.size())];
    const auto* second = usable[random_below(random, usable.size())];
    return {
        refusal::none, load_of(*second) < load_of(*first) ? *second : *first};
}

void note_attempt_started(upstream_stats& stats)
{
    stats.outstanding.fetch_add(1, std::memory_order_relaxed);
}

void note_attempt_ended(
    upstream_stats& stats, attempt_status /*status*/, duration /*latency*/,
    time_point /*now*/)
{
    stats.outstanding.fetch_sub(1, std::memory_order_relaxed);
}

void note_load_report(
    upstream_stats& stats, const load_report& report, time_point now)
{
    stats.reported_load.store(
        report.in_flight + report.queued, std::memory_order_relaxed);
    stats.reported_limit.store(report.limit, std::memory_order_relaxed);
    stats.reported_at.store(
        now.time_since_epoch().count(), std::memory_order_relaxed);
}

} // namespace cyclamenhold
