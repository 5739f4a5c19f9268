#include "core/trees/tree_collector.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenhold
{
namespace
{

// The slot time of requests changes slowly, while the demand may double at
// once.
constexpr double run_decay_seconds = 4.0;
constexpr double demand_decay_seconds = 0.4;
// Runs are made to count less at most this often, as a collector gets hundreds
// of reports a second.
constexpr duration decay_interval = 50ms;
// Fewer runs than this are those of routes that are no longer used.
constexpr double least_runs = 1e-9;
// How the usable part of a service changes at each update: down by half of the
// part of its calls that its gates refuse, at most by a quarter, and slowly up.
// Refusals count once they have lasted for some updates: those of a burst end
// when its demand has reached the entries.
constexpr duration usable_interval = 400ms;
constexpr std::uint32_t lasting_updates = 5;
constexpr double refusal_weight = 0.5;
constexpr double largest_decrease = 0.25;
constexpr double tolerated_refusals = 0.02;
// Fewer refused calls a second than this are the rest of earlier ones.
constexpr double least_refused_calls = 0.1;
constexpr double recovery_step = 0.05;
constexpr double min_usable = 0.5;

double decay_over(duration elapsed, double seconds)
{
    return std::exp(-std::max(0.0, to_seconds(elapsed)) / seconds);
}

std::uint64_t growth(std::uint64_t before, std::uint64_t after)
{
    return after >= before ? after - before : 0;
}

bool is_forgotten(const std::pair<const route_id, double>& calls)
{
    return calls.second < least_runs;
}

void decay_runs(tree_collector& collector, time_point now)
{
    if (now - collector.runs_at < decay_interval)
    {
        return;
    }
    const double kept = decay_over(now - collector.runs_at, run_decay_seconds);
    collector.runs_at = now;
    for (auto& [key, entry] : collector.runs)
    {
        entry.runs *= kept;
        entry.slot_seconds *= kept;
        for (auto& [route, calls] : entry.calls)
        {
            calls *= kept;
        }
        std::erase_if(entry.calls, is_forgotten);
    }
    std::erase_if(
        collector.runs,
        [](const auto& row)
        {
            return row.second.runs < least_runs;
        });
}

void add_runs(
    tree_collector& collector, const host_counts& before,
    const host_counts& after)
{
    constexpr double microseconds_per_second = 1e6;
    static const run_counts none;
    for (const auto& [route, counts] : after.runs)
    {
        const auto found = before.runs.find(route);
        const run_counts& earlier =
            found == before.runs.end() ? none : found->second;
        if (counts.runs <= earlier.runs)
        {
            continue;
        }
        run_totals& total = collector.runs[{route, after.service}];
        total.runs += static_cast<double>(growth(earlier.runs, counts.runs));
        total.slot_seconds +=
            static_cast<double>(growth(earlier.slot_us, counts.slot_us)) /
            microseconds_per_second;
        for (const auto& [called, calls] : counts.calls)
        {
            const auto former = earlier.calls.find(called);
            total.calls[called] += static_cast<double>(growth(
                former == earlier.calls.end() ? 0 : former->second, calls));
        }
    }
}

// Moves a rate towards the growth of a counter over `elapsed`.
void smooth(
    double& rate, std::uint64_t before, std::uint64_t after, duration elapsed)
{
    const double kept = decay_over(elapsed, demand_decay_seconds);
    const double newest =
        static_cast<double>(growth(before, after)) / to_seconds(elapsed);
    rate = kept * rate + (1.0 - kept) * newest;
}

void update_rates(
    collected_host& host, const host_counts& after, duration elapsed)
{
    const host_counts& before = host.counts;
    std::erase_if(
        host.demand,
        [&after](const auto& row)
        {
            return !after.arrivals.contains(row.first);
        });
    for (const auto& [key, arrivals] : after.arrivals)
    {
        const auto former = before.arrivals.find(key);
        smooth(
            host.demand[key],
            former == before.arrivals.end() ? 0 : former->second, arrivals,
            elapsed);
    }
    smooth(
        host.started_calls, before.started_calls, after.started_calls, elapsed);
    smooth(
        host.refused_calls, before.refused_calls, after.refused_calls, elapsed);
}

void update_usable(
    tree_collector& collector, const tree_totals& totals, time_point now)
{
    if (now - collector.usable_at < usable_interval)
    {
        return;
    }
    collector.usable_at = now;
    std::erase_if(
        collector.usable,
        [&totals](const auto& row)
        {
            return !totals.services.contains(row.first);
        });
    for (const auto& [service, entry] : totals.services)
    {
        const double offered = entry.started_calls + entry.refused_calls;
        const double refused = entry.refused_calls >= least_refused_calls
                                   ? entry.refused_calls / offered
                                   : 0.0;
        usable_part& part = collector.usable[service];
        part.refusing_updates =
            refused > tolerated_refusals ? part.refusing_updates + 1 : 0;
        if (part.refusing_updates == 0)
        {
            part.share = std::min(1.0, part.share + recovery_step);
        }
        else if (part.refusing_updates >= lasting_updates)
        {
            const double decrease =
                std::min(largest_decrease, refusal_weight * refused);
            part.share = std::max(min_usable, part.share * (1.0 - decrease));
        }
    }
}

} // namespace

void collect_counts(
    tree_collector& collector, host_id host, incarnation host_incarnation,
    const host_counts& counts, time_point now)
{
    collected_host& entry = collector.hosts[host];
    const bool is_first = entry.host_incarnation != host_incarnation;
    if (is_first)
    {
        // What it has counted since its start may be long ago.
        entry = {host_incarnation, counts, now, {}, 0.0, 0.0};
        return;
    }
    const duration elapsed = now - entry.received_at;
    if (elapsed <= duration::zero())
    {
        return;
    }
    decay_runs(collector, now);
    add_runs(collector, entry.counts, counts);
    update_rates(entry, counts, elapsed);
    entry.counts = counts;
    entry.received_at = now;
}

void collect_totals(
    tree_collector& collector, host_id from, tree_totals totals, time_point now)
{
    collector.others[from] = {std::move(totals), now};
}

tree_totals own_totals(const tree_collector& collector, time_point now)
{
    tree_totals totals;
    totals.runs = collector.runs;
    for (const auto& [id, host] : collector.hosts)
    {
        if (now - host.received_at > collector.report_term)
        {
            continue;
        }
        service_totals& service = totals.services[host.counts.service];
        service.limit += host.counts.limit;
        service.started_calls += host.started_calls;
        service.refused_calls += host.refused_calls;
        for (const auto& [key, per_second] : host.demand)
        {
            totals.demand[key] += per_second;
        }
    }
    return totals;
}

void update_allotments(
    tree_collector& collector, duration interval, time_point now)
{
    if (now - collector.allotted_at < interval)
    {
        return;
    }
    collector.allotted_at = now;
    std::erase_if(
        collector.others,
        [now](const auto& entry)
        {
            return now - entry.second.received_at > collected_term;
        });
    tree_totals totals = own_totals(collector, now);
    for (const auto& [host, part] : collector.others)
    {
        add(totals, part.totals);
    }
    update_usable(collector, totals, now);
    std::map<service_id, double> capacity;
    for (const auto& [service, entry] : totals.services)
    {
        // A service without upstreams may be one that few requests call. The
        // throttle of the route reacts to its failures.
        if (entry.limit >= 1.0)
        {
            capacity[service] = entry.limit * collector.usable[service].share;
        }
    }
    collector.allotments =
        allot_trees(totals.demand, costs_of(totals), capacity);
}

} // namespace cyclamenhold
