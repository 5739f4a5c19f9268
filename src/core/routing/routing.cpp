#include "core/routing/routing.hpp"

#include "core/gate/admission_position.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include <boost/container/small_vector.hpp>

namespace cyclamenhold
{
namespace
{

// At most this share of a service's upstreams is ejected at once, and never the
// only one.
constexpr double max_ejected_share = 0.5;
// One in this many requests that a level would refuse is sent anyway, to detect
// when the upstream accepts more.
constexpr std::uint64_t probe_interval = 50;
// Requests leave the data centre for an upstream where the expected time is at
// most this part of the expected time here.
constexpr double spill_advantage = 0.7;
// Extra expected time at an upstream where all requests fail, as a multiple of
// the latency.
constexpr double failure_penalty = 10.0;
// Load, as a part of the limit, above which the expected time includes
// queueing. Beyond the limit requests queue.
constexpr double queueing_threshold = 0.9;
constexpr double queueing_slope = 8.0;
// The limit assumed for an upstream that announced no slots.
constexpr double default_limit = 10.0;
// Share of the announced slots to assume while an upstream warms up and has not
// reported its limit.
constexpr double warming_share = 0.1;

using candidate_list =
    boost::container::small_vector<const routing_candidate*, 16>;

// Inputs that are common to all candidates of one selection.
struct selection_context
{
    time_point now{};
    // Used for upstreams whose own latency is unknown.
    duration typical{};
};

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

bool was_tried(
    const routing_candidate& candidate, std::span<const host_id> tried)
{
    return std::ranges::find(tried, candidate.location.host) != tried.end();
}

// The concurrency that the rate of a cold upstream sustains; nothing if it has
// none or its latency is unknown.
std::optional<double> cold_limit(const routing_candidate& candidate)
{
    const upstream_record& record = candidate.location.record;
    const duration latency = estimated_latency(*candidate.stats);
    if (record.state != upstream_state::warming || record.cold_rate <= 0.0)
    {
        return std::nullopt;
    }
    return latency > duration::zero() ? record.cold_rate * to_seconds(latency)
                                      : 1.0;
}

double limit_of(const routing_candidate& candidate)
{
    const upstream_record& record = candidate.location.record;
    if (const auto limit = cold_limit(candidate))
    {
        return std::max(1.0, *limit);
    }
    double limit =
        candidate.stats->reported_limit.load(std::memory_order_relaxed);
    if (limit <= 0.0)
    {
        const double slots = record.slots > 0 ? record.slots : default_limit;
        const bool warming = record.state == upstream_state::warming;
        limit = warming ? slots * warming_share : slots;
    }
    return std::max(1.0, limit);
}

// Load per request that the upstream may run, the next one included.
double relative_load(const routing_candidate& candidate, time_point now)
{
    const upstream_stats& stats = *candidate.stats;
    return (estimated_load(stats, now) + 1.0) /
           (limit_of(candidate) * probation_share(stats, now));
}

// Removes ejected upstreams, at most max_ejected_share of all. Those whose
// ejection ends first stay.
void drop_ejected(candidate_list& usable, time_point now)
{
    candidate_list ejected;
    for (const auto* candidate : usable)
    {
        if (is_ejected(*candidate->stats, now))
        {
            ejected.push_back(candidate);
        }
    }
    if (ejected.empty())
    {
        return;
    }
    const auto allowed = static_cast<std::size_t>(
        static_cast<double>(usable.size()) * max_ejected_share);
    std::ranges::stable_sort(
        ejected, std::ranges::greater(),
        [](const routing_candidate* candidate)
        {
            return candidate->stats->ejected_until.load(
                std::memory_order_relaxed);
        });
    ejected.resize(std::min(allowed, ejected.size()));
    const auto is_dropped = [&](const routing_candidate* candidate)
    {
        return std::ranges::find(ejected, candidate) != ejected.end();
    };
    usable.erase(
        std::remove_if(usable.begin(), usable.end(), is_dropped), usable.end());
}

// The mean of the known latencies, used for the unknown ones. An arbitrary
// value when none is known.
duration typical_latency(const candidate_list& candidates)
{
    duration sum{};
    int known = 0;
    for (const auto* candidate : candidates)
    {
        const duration latency = estimated_latency(*candidate->stats);
        sum += latency;
        known += latency > duration::zero() ? 1 : 0;
    }
    return known == 0 ? duration(1ms) : sum / known;
}

// The expected time of one more request, in seconds. Upstreams differ in
// latency, slow down as the load approaches the limit, and queue requests
// beyond it.
double expected_time(
    const routing_candidate& candidate, const selection_context& selection)
{
    const duration estimated = estimated_latency(*candidate.stats);
    const duration latency =
        estimated > duration::zero() ? estimated : selection.typical;
    const double load = relative_load(candidate, selection.now);
    const double queueing =
        queueing_slope * std::max(0.0, load - queueing_threshold);
    const double failures =
        1.0 + failure_penalty * failure_share(*candidate.stats);
    return to_seconds(latency) * (1.0 + std::pow(load, 4) + queueing) *
           failures;
}

const routing_candidate* better_of_two(
    const candidate_list& candidates, const selection_context& selection,
    random_source& random)
{
    const auto size = candidates.size();
    const auto first = random_below(random, size);
    if (size == 1)
    {
        return candidates[first];
    }
    const auto second = (first + 1 + random_below(random, size - 1)) % size;
    return expected_time(*candidates[second], selection) <
                   expected_time(*candidates[first], selection)
               ? candidates[second]
               : candidates[first];
}

// Prefers local upstreams. Selects one in another data centre when there are
// none here, or when the expected time there is clearly shorter.
const routing_candidate* select_candidate(
    const candidate_list& candidates, data_centre_id local_data_centre,
    time_point now, random_source& random)
{
    const selection_context selection{now, typical_latency(candidates)};
    candidate_list local;
    candidate_list remote;
    for (const auto* candidate : candidates)
    {
        const bool is_local =
            candidate->location.data_centre == local_data_centre;
        (is_local ? local : remote).push_back(candidate);
    }
    if (local.empty())
    {
        return better_of_two(remote, selection, random);
    }
    const auto* const best_local = better_of_two(local, selection, random);
    if (remote.empty())
    {
        return best_local;
    }
    const auto* const best_remote = better_of_two(remote, selection, random);
    const bool is_remote_faster =
        expected_time(*best_remote, selection) <
        expected_time(*best_local, selection) * spill_advantage;
    return is_remote_faster ? best_remote : best_local;
}

// Removes upstreams whose hosts do not answer, unless no host does.
void drop_unreachable(candidate_list& usable, time_point now)
{
    const auto is_dropped = [now](const routing_candidate* candidate)
    {
        return is_unreachable(*candidate->stats, now);
    };
    if (!std::ranges::all_of(usable, is_dropped))
    {
        usable.erase(
            std::remove_if(usable.begin(), usable.end(), is_dropped),
            usable.end());
    }
}

// The upstreams in data centres where the request may run. Counts the others.
candidate_list permitted_of(
    const routing_view& view, const std::vector<routing_candidate>& candidates,
    const request_context& context, std::size_t& excluded)
{
    candidate_list permitted;
    for (const auto& candidate : candidates)
    {
        const bool is_permitted = may_run_in(
            view.placement, context.regions, candidate.location.data_centre);
        excluded += is_permitted ? 0 : 1;
        if (is_permitted && is_usable(candidate))
        {
            permitted.push_back(&candidate);
        }
    }
    return permitted;
}

candidate_list
usable_of(candidate_list usable, std::span<const host_id> tried, time_point now)
{
    drop_unreachable(usable, now);
    drop_ejected(usable, now);
    candidate_list untried;
    for (const auto* candidate : usable)
    {
        if (!was_tried(*candidate, tried))
        {
            untried.push_back(candidate);
        }
    }
    return untried.empty() ? usable : untried;
}

} // namespace

routing_view build_routing_view(
    std::span<const upstream_location> locations,
    data_centre_id local_data_centre, const routing_view& previous,
    placement_view placement)
{
    routing_view view;
    view.local_data_centre = local_data_centre;
    view.placement = std::move(placement);
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

bool record_host_unreachable(
    const routing_view& view, host_id host, time_point now)
{
    bool is_new = false;
    for (const auto& [service, candidates] : view.services)
    {
        for (const auto& candidate : candidates)
        {
            if (candidate.location.host == host)
            {
                is_new = record_unreachable(*candidate.stats, now) || is_new;
            }
        }
    }
    return is_new;
}

routing_choice choose_upstream(
    const routing_view& view, const request_context& context,
    std::span<const host_id> tried, time_point now, random_source& random)
{
    routing_choice choice;
    const auto found = view.services.find(context.service);
    if (found == view.services.end())
    {
        choice.reason = refusal::no_upstream;
        return choice;
    }
    const candidate_list usable = usable_of(
        permitted_of(view, found->second, context, choice.excluded), tried,
        now);
    choice.known = found->second.size();
    choice.usable = usable.size();
    if (usable.empty())
    {
        choice.reason = refusal::no_upstream;
        return choice;
    }
    candidate_list accepting;
    std::uint32_t most_open = 0;
    for (const auto* candidate : usable)
    {
        const admission_level level = effective_level(*candidate->stats, now);
        most_open = std::max(most_open, open_positions(level));
        if (passes(level, context.priority, context.slot))
        {
            accepting.push_back(candidate);
        }
    }
    choice.level = level_at(most_open);
    if (accepting.empty() && random_below(random, probe_interval) != 0)
    {
        choice.reason = refusal::overloaded;
        return choice;
    }
    choice.candidate = *select_candidate(
        accepting.empty() ? usable : accepting, view.local_data_centre, now,
        random);
    return choice;
}

} // namespace cyclamenhold
