// Adds up the counts of the hosts of a data centre, and the totals of the other
// data centres. One host of each data centre collects.
#pragma once

#include "core/base/time.hpp"
#include "core/trees/tree_allotment.hpp"
#include "core/trees/tree_counts.hpp"
#include "core/trees/tree_totals.hpp"

#include <cstdint>
#include <map>

namespace cyclamenhold
{

// The newest counts of one host.
struct collected_host
{
    incarnation host_incarnation = 0;
    host_counts counts;
    time_point received_at{};
    // Root requests and calls a second, smoothed.
    std::map<tree_key, double> demand;
    double started_calls = 0.0;
    double refused_calls = 0.0;
};

// The totals of another collector.
struct collected_part
{
    tree_totals totals;
    time_point received_at{};
};

// The part of a service's slots that trees may use, and the number of updates
// in a row at which its gates refused calls.
struct usable_part
{
    double share = 1.0;
    std::uint32_t refusing_updates = 0;
};

// Totals without a successor for this time no longer count.
constexpr duration collected_term = 2s;

struct tree_collector
{
    std::map<host_id, collected_host> hosts;
    // Runs at the hosts that report here. Older ones count less.
    std::map<std::pair<route_id, service_id>, run_totals> runs;
    time_point runs_at{};
    std::map<host_id, collected_part> others;
    // The part of each service's slots that trees may use: less while its gates
    // refuse calls of admitted trees.
    std::map<service_id, usable_part> usable;
    time_point usable_at{};
    time_point allotted_at{};
    std::map<tree_key, tree_allotment> allotments;
    // Reports without a successor for this time no longer count. Longer where
    // hosts report less often.
    duration report_term = collected_term;
};

void collect_counts(
    tree_collector& collector, host_id host, incarnation host_incarnation,
    const host_counts& counts, time_point now);

void collect_totals(
    tree_collector& collector, host_id from, tree_totals totals,
    time_point now);

// The totals of the hosts that report here.
[[nodiscard]] tree_totals
own_totals(const tree_collector& collector, time_point now);

// Computes the allotments anew if they are older than `interval`.
void update_allotments(
    tree_collector& collector, duration interval, time_point now);

} // namespace cyclamenhold
