#include "core/trees/tree_observer.hpp"

#include <iterator>

namespace cyclamenhold
{
namespace
{

// The running request with the deadline nearest to this one, within the
// tolerance; none if there is no such request.
std::multimap<time_point, std::uint64_t>::const_iterator
find_parent(const tree_observer& observer, time_point deadline)
{
    const auto& runs = observer.by_deadline;
    const auto later = runs.lower_bound(deadline);
    auto nearest = runs.end();
    duration distance = deadline_tolerance;
    if (later != runs.end() && later->first - deadline <= distance)
    {
        nearest = later;
        distance = later->first - deadline;
    }
    if (later != runs.begin())
    {
        const auto earlier = std::prev(later);
        if (deadline - earlier->first <= distance)
        {
            nearest = earlier;
        }
    }
    return nearest;
}

void erase_deadline(
    tree_observer& observer, time_point deadline, std::uint64_t run)
{
    auto [place, end] = observer.by_deadline.equal_range(deadline);
    for (; place != end; ++place)
    {
        if (place->second == run)
        {
            observer.by_deadline.erase(place);
            return;
        }
    }
}

} // namespace

void observe_arrival(tree_observer& observer, const tree_key& key)
{
    if (!observer.is_enabled)
    {
        return;
    }
    const std::scoped_lock lock(observer.mutex);
    ++observer.counts.arrivals[key];
}

void observe_start(
    tree_observer& observer, std::uint64_t run, route_id route, bool is_call,
    time_point deadline, time_point now)
{
    if (!observer.is_enabled)
    {
        return;
    }
    const std::scoped_lock lock(observer.mutex);
    observer.counts.started_calls += is_call ? 1 : 0;
    observer.running[run] = {route, deadline, now, {}};
    observer.by_deadline.emplace(deadline, run);
}

void observe_call(tree_observer& observer, route_id route, time_point deadline)
{
    if (!observer.is_enabled)
    {
        return;
    }
    const std::scoped_lock lock(observer.mutex);
    if (const auto parent = find_parent(observer, deadline);
        parent != observer.by_deadline.end())
    {
        ++observer.running[parent->second].calls[route];
    }
}

void observe_end(
    tree_observer& observer, std::uint64_t run, bool succeeded, time_point now)
{
    if (!observer.is_enabled)
    {
        return;
    }
    const std::scoped_lock lock(observer.mutex);
    const auto found = observer.running.find(run);
    if (found == observer.running.end())
    {
        return;
    }
    const observed_run ended = std::move(found->second);
    observer.running.erase(found);
    erase_deadline(observer, ended.deadline, run);
    if (!succeeded || ended.route == route_id::none)
    {
        return;
    }
    run_counts& counts = observer.counts.runs[ended.route];
    ++counts.runs;
    counts.slot_us += static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            now - ended.started_at)
            .count());
    for (const auto& [route, calls] : ended.calls)
    {
        counts.calls[route] += calls;
    }
}

void observe_refused_call(tree_observer& observer)
{
    if (!observer.is_enabled)
    {
        return;
    }
    const std::scoped_lock lock(observer.mutex);
    ++observer.counts.refused_calls;
}

void observe_limit(
    tree_observer& observer, service_id service, std::uint32_t limit)
{
    const std::scoped_lock lock(observer.mutex);
    observer.counts.service = service;
    observer.counts.limit = limit;
}

void forget_other_routes(
    tree_observer& observer, const std::set<route_id>& configured)
{
    const auto is_gone = [&configured](const auto& row)
    {
        return !configured.contains(row.first);
    };
    const std::scoped_lock lock(observer.mutex);
    std::erase_if(observer.counts.runs, is_gone);
    for (auto& [route, entry] : observer.counts.runs)
    {
        std::erase_if(entry.calls, is_gone);
    }
    std::erase_if(
        observer.counts.arrivals,
        [&configured](const auto& row)
        {
            return !configured.contains(row.first.route);
        });
}

host_counts counts_of(tree_observer& observer)
{
    const std::scoped_lock lock(observer.mutex);
    return observer.counts;
}

} // namespace cyclamenhold
