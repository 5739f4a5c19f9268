#include "core/trees/tree_allotment.hpp"

#include <algorithm>
#include <limits>
#include <vector>

namespace cyclamenhold
{
namespace
{

// Differences below this are rounding errors.
constexpr double epsilon = 1e-9;
// The part of an even share that each route gets whatever its class, so that
// none is starved.
constexpr double guaranteed_part = 0.3;

struct allotted_row
{
    tree_key key;
    double per_second = 0.0;
    const tree_cost* cost = nullptr;
    double share = 0.0;
};

using slots_by_service = std::map<service_id, double>;

// The slots that all requests of these rows would use.
slots_by_service growth_of(const std::vector<allotted_row*>& rows)
{
    slots_by_service growth;
    for (const auto* row : rows)
    {
        for (const auto& [service, seconds] : *row->cost)
        {
            growth[service] += row->per_second * seconds;
        }
    }
    return growth;
}

// Raises the shares of all rows together until a service is full. Then the rows
// that use it keep their share, and the others go on.
void fill(std::vector<allotted_row*> rows, slots_by_service& free)
{
    while (!rows.empty())
    {
        double step = 1.0;
        for (const auto* row : rows)
        {
            step = std::min(step, 1.0 - row->share);
        }
        const slots_by_service growth = growth_of(rows);
        for (const auto& [service, slots] : growth)
        {
            const auto left = free.find(service);
            if (left != free.end() && slots > epsilon)
            {
                step = std::min(step, std::max(0.0, left->second) / slots);
            }
        }
        for (auto* row : rows)
        {
            row->share += step;
        }
        for (const auto& [service, slots] : growth)
        {
            if (const auto left = free.find(service); left != free.end())
            {
                left->second -= step * slots;
            }
        }
        const auto count = rows.size();
        std::erase_if(
            rows,
            [&free](allotted_row* row)
            {
                const bool is_limited = std::ranges::any_of(
                    *row->cost,
                    [&free](const auto& entry)
                    {
                        const auto left = free.find(entry.first);
                        return entry.second > epsilon && left != free.end() &&
                               left->second <= epsilon;
                    });
                return is_limited || row->share >= 1.0 - epsilon;
            });
        if (rows.size() == count)
        {
            return;
        }
    }
}

// Gives each row its guaranteed part and takes the slots for it.
void fill_guaranteed(std::vector<allotted_row>& rows, slots_by_service& free)
{
    std::vector<allotted_row*> all;
    all.reserve(rows.size());
    for (auto& row : rows)
    {
        all.push_back(&row);
    }
    fill(all, free);
    for (auto& row : rows)
    {
        const double returned = row.share * (1.0 - guaranteed_part);
        row.share -= returned;
        for (const auto& [service, seconds] : *row.cost)
        {
            if (const auto left = free.find(service); left != free.end())
            {
                left->second += returned * row.per_second * seconds;
            }
        }
    }
}

double headroom_of(
    const allotted_row& row, const std::map<service_id, double>& capacity,
    const slots_by_service& free)
{
    double headroom = std::numeric_limits<double>::infinity();
    for (const auto& [service, seconds] : *row.cost)
    {
        const auto whole = capacity.find(service);
        if (whole == capacity.end() || seconds <= epsilon)
        {
            continue;
        }
        const double used = whole->second - free.at(service);
        headroom = std::min(
            headroom, used > epsilon ? whole->second / used : headroom);
    }
    return std::max(1.0, headroom);
}

} // namespace

std::map<tree_key, tree_allotment> allot_trees(
    const std::map<tree_key, double>& demand, const tree_costs& costs,
    const std::map<service_id, double>& capacity)
{
    static const tree_cost no_cost;
    std::vector<allotted_row> rows;
    for (const auto& [key, per_second] : demand)
    {
        const auto cost = costs.find({key.route, key.service});
        rows.push_back(
            {key, per_second, cost == costs.end() ? &no_cost : &cost->second});
    }
    slots_by_service free = capacity;
    fill_guaranteed(rows, free);
    for (std::size_t level = 0; level < priority_class_count; ++level)
    {
        std::vector<allotted_row*> rows_of_class;
        for (auto& row : rows)
        {
            if (static_cast<std::size_t>(row.key.priority) == level)
            {
                rows_of_class.push_back(&row);
            }
        }
        fill(std::move(rows_of_class), free);
    }
    std::map<tree_key, tree_allotment> allotments;
    for (const auto& row : rows)
    {
        const bool is_whole = row.share >= 1.0 - epsilon;
        allotments[row.key] = {
            is_whole ? 1.0 : row.share,
            is_whole ? headroom_of(row, capacity, free) : 1.0};
    }
    return allotments;
}

} // namespace cyclamenhold
