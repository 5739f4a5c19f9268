#include "experiment/figures.hpp"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cyclamenhold
{
namespace
{

constexpr double bin_s = 0.25;
// Recovery requires that the served share stays high over this many bins.
constexpr std::size_t recovery_bins = 8;
constexpr double recovered_share = 0.95;

using record_list = std::vector<sent_call>;

bool is_refusal(const sent_call& record)
{
    return record.status == 429 || record.status == 503;
}

bool is_inside_rate(const scenario& plan, const sent_call& record)
{
    const scenario_workspace& workspace = plan.workspaces[record.workspace];
    return offered_rate(plan, workspace, record.at_s) <= workspace.rate;
}

// Calls sent, and successful ones among them, per second of an interval.
struct interval_rates
{
    double offered = 0.0;
    double served = 0.0;
};

interval_rates
rates_in(const record_list& records, double from_s, double until_s)
{
    interval_rates rates;
    if (until_s <= from_s)
    {
        return rates;
    }
    for (const sent_call& record : records)
    {
        if (record.at_s >= from_s && record.at_s < until_s)
        {
            rates.offered += 1.0;
            rates.served += record.succeeded ? 1.0 : 0.0;
        }
    }
    rates.offered /= until_s - from_s;
    rates.served /= until_s - from_s;
    return rates;
}

std::vector<goodput_bin>
make_bins(const scenario& plan, const record_list& records)
{
    const auto count =
        static_cast<std::size_t>(std::ceil(plan.duration_s / bin_s));
    std::vector<goodput_bin> bins(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        bins[index].from_s = static_cast<double>(index) * bin_s;
        bins[index].served_by_class.resize(priority_class_count);
    }
    for (const sent_call& record : records)
    {
        const auto index = static_cast<std::size_t>(record.at_s / bin_s);
        if (index >= count)
        {
            continue;
        }
        ++bins[index].offered;
        if (record.succeeded)
        {
            ++bins[index].served;
            const auto priority = plan.routes[record.route].priority;
            ++bins[index].served_by_class[static_cast<std::size_t>(priority)];
        }
    }
    return bins;
}

// The share of calls served in `count` bins from `first`.
double served_share(
    const std::vector<goodput_bin>& bins, std::size_t first, std::size_t count)
{
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    const std::size_t last = std::min(bins.size(), first + count);
    for (std::size_t index = first; index < last; ++index)
    {
        offered += bins[index].offered;
        served += bins[index].served;
    }
    return offered == 0
               ? 1.0
               : static_cast<double>(served) / static_cast<double>(offered);
}

// The recovery time in seconds, or -1 without recovery. Compares shares of the
// offered calls and not counts, as random arrivals make counts vary.
double recovery_time(
    const std::vector<goodput_bin>& bins, const experiment_figures& figures)
{
    const double before = figures.offered_before == 0.0
                              ? 1.0
                              : figures.goodput_before / figures.offered_before;
    if (before <= 0.0)
    {
        return -1.0;
    }
    const double until_s = figures.disturbed.until_s;
    auto index = static_cast<std::size_t>(std::ceil(until_s / bin_s));
    for (; index + recovery_bins <= bins.size(); ++index)
    {
        const bool has_bin_recovered =
            served_share(bins, index, 1) >= recovered_share * before;
        if (has_bin_recovered && served_share(bins, index, recovery_bins) >=
                                     recovered_share * before)
        {
            return std::max(0.0, bins[index].from_s - until_s);
        }
    }
    return -1.0;
}

void fill_workspaces(
    const scenario& plan, const record_list& records,
    experiment_figures& figures)
{
    const auto [from_s, until_s] = figures.disturbed;
    const double length = until_s - from_s;
    for (const scenario_workspace& workspace : plan.workspaces)
    {
        figures.workspaces.push_back({workspace.name, 0, 0, 0, 0, 0});
    }
    for (const sent_call& record : records)
    {
        auto& workspace = figures.workspaces[record.workspace];
        if (record.at_s >= from_s && record.at_s < until_s)
        {
            workspace.offered += 1.0 / length;
            workspace.served += record.succeeded ? 1.0 / length : 0.0;
        }
        if (is_refusal(record) && is_inside_rate(plan, record))
        {
            ++workspace.refused_inside_rate;
            workspace.rate_refused_inside_rate += record.status == 429;
        }
    }
}

void fill_shares(const scenario& plan, experiment_figures& figures)
{
    std::vector<double> demands;
    double total = 0.0;
    for (std::size_t index = 0; index < figures.workspaces.size(); ++index)
    {
        const auto& workspace = figures.workspaces[index];
        demands.push_back(
            std::min(workspace.offered, plan.workspaces[index].rate));
        total += workspace.served;
    }
    const auto shares = max_min_shares(demands, total);
    for (std::size_t index = 0; index < shares.size(); ++index)
    {
        auto& workspace = figures.workspaces[index];
        workspace.entitled = shares[index];
        figures.goodput_inside_rate +=
            std::min(workspace.served, plan.workspaces[index].rate);
        figures.refused_inside_rate += workspace.refused_inside_rate;
        figures.rate_refused_inside_rate += workspace.rate_refused_inside_rate;
        if (workspace.entitled <= 0.0)
        {
            continue;
        }
        const double ratio = workspace.served / workspace.entitled;
        if (ratio < figures.worst_served || figures.worst_workspace.empty())
        {
            figures.worst_served = ratio;
            figures.worst_workspace = workspace.name;
        }
    }
}

void fill_classes(
    const scenario& plan, const record_list& records,
    experiment_figures& figures)
{
    for (const auto& [priority, name] : enum_names<priority_class>::table)
    {
        figures.classes.push_back({priority, 0, 0});
    }
    for (const sent_call& record : records)
    {
        if (record.at_s < figures.disturbed.from_s ||
            record.at_s >= figures.disturbed.until_s ||
            !is_inside_rate(plan, record))
        {
            continue;
        }
        const auto priority = plan.routes[record.route].priority;
        auto& entry = figures.classes[static_cast<std::size_t>(priority)];
        ++entry.offered;
        entry.served += record.succeeded;
    }
}

template <class Histogram>
double quantile(const Histogram& histogram, double share)
{
    const double total = boost::histogram::algorithm::sum(histogram);
    double cumulative = 0.0;
    for (auto&& cell : boost::histogram::indexed(histogram))
    {
        cumulative += *cell;
        if (total > 0.0 && cumulative >= share * total)
        {
            return cell.bin().upper();
        }
    }
    // The quantile is above the last bin.
    return total > 0.0 ? histogram.axis().value(histogram.axis().size()) : 0.0;
}

void fill_latency(
    const scenario& plan, const record_list& records,
    experiment_figures& figures)
{
    namespace bh = boost::histogram;
    // One hundred bins per decade, in steps of 2.3%, from 0.01 ms to 1000 s.
    auto histogram =
        bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
            800, 0.01, 1'000'000.0));
    for (const sent_call& record : records)
    {
        if (record.succeeded && record.at_s >= plan.warm_up_s)
        {
            histogram((record.done_s - record.at_s) * 1000.0);
        }
    }
    figures.latency_p50_ms = quantile(histogram, 0.50);
    figures.latency_p99_ms = quantile(histogram, 0.99);
}

void fill_deepest(const scenario& plan, experiment_figures& figures)
{
    for (const service_counts& counts : figures.services)
    {
        if (counts.service == plan.deepest_service && figures.calls > 0)
        {
            figures.deepest_attempts = static_cast<double>(counts.received) /
                                       static_cast<double>(figures.calls);
        }
    }
}

} // namespace

std::vector<double>
max_min_shares(const std::vector<double>& demands, double total)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::stable_sort(
        order,
        [&](std::size_t left, std::size_t right)
        {
            return demands[left] < demands[right];
        });
    std::vector<double> shares(demands.size());
    std::size_t left = demands.size();
    for (const std::size_t index : order)
    {
        shares[index] =
            std::min(demands[index], total / static_cast<double>(left));
        total -= shares[index];
        --left;
    }
    return shares;
}

experiment_figures compute_figures(
    const scenario& plan, const record_list& records,
    const std::vector<service_counts>& services)
{
    experiment_figures figures;
    figures.disturbed = disturbance_of(plan);
    figures.calls = records.size();
    figures.services = services;
    for (const sent_call& record : records)
    {
        figures.attempts += record.attempts;
    }
    const auto [from_s, until_s] = figures.disturbed;
    const auto before = rates_in(records, plan.warm_up_s, from_s);
    const auto during = rates_in(records, from_s, until_s);
    figures.offered_before = before.offered;
    figures.goodput_before = before.served;
    figures.offered_during = during.offered;
    figures.goodput_during = during.served;
    figures.goodput_after = rates_in(records, until_s, plan.duration_s).served;
    figures.bins = make_bins(plan, records);
    if (from_s < until_s)
    {
        figures.recovery_s = recovery_time(figures.bins, figures);
        fill_workspaces(plan, records, figures);
        fill_shares(plan, figures);
        fill_classes(plan, records, figures);
    }
    fill_latency(plan, records, figures);
    fill_deepest(plan, figures);
    return figures;
}

} // namespace cyclamenhold
