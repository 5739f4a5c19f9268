#include "core/gate/fair_queue.hpp"

#include <cmath>
#include <span>

namespace cyclamenhold
{
namespace
{

// The weight of past service halves in this time.
constexpr duration service_half_life = 1s;
// All weights are scaled down above this value, before they lose precision.
constexpr double max_service_weight = 1e12;
// Idle workspaces whose remaining service weighs less than this are dropped.
constexpr double negligible_service = 1e-9;

class_queue& class_of(fair_queue& queue, priority_class priority)
{
    return queue.classes[static_cast<std::size_t>(priority)];
}

void rescale(fair_queue& queue)
{
    const double factor = 1.0 / queue.service_weight;
    queue.service_weight = 1.0;
    for (auto& entry : queue.classes)
    {
        entry.waiting.clear();
        for (auto& [id, workspace] : entry.workspaces)
        {
            workspace.served *= factor;
        }
        std::erase_if(
            entry.workspaces,
            [](const auto& item)
            {
                return item.second.requests.empty() &&
                       item.second.served < negligible_service;
            });
        for (const auto& [id, workspace] : entry.workspaces)
        {
            if (!workspace.requests.empty())
            {
                entry.waiting.emplace(workspace.served, id);
            }
        }
    }
}

void advance_weight(fair_queue& queue, time_point now)
{
    if (queue.weight_updated_at == time_point{})
    {
        queue.weight_updated_at = now;
    }
    if (now <= queue.weight_updated_at)
    {
        return;
    }
    const double half_lives = to_seconds(now - queue.weight_updated_at) /
                              to_seconds(service_half_life);
    queue.service_weight *= std::exp2(half_lives);
    queue.weight_updated_at = now;
    if (queue.service_weight > max_service_weight)
    {
        rescale(queue);
    }
}

void add_service(
    fair_queue& queue, class_queue& entry, workspace_id id, time_point now)
{
    advance_weight(queue, now);
    workspace_queue& workspace = entry.workspaces[id];
    const bool waiting = entry.waiting.erase({workspace.served, id}) > 0;
    workspace.served += queue.service_weight;
    if (waiting)
    {
        entry.waiting.emplace(workspace.served, id);
    }
}

gate_request remove_request(
    fair_queue& queue, class_queue& entry, workspace_id id,
    std::map<std::uint64_t, gate_request>::iterator position)
{
    workspace_queue& workspace = entry.workspaces[id];
    gate_request request = std::move(position->second);
    workspace.requests.erase(position);
    --entry.size;
    if (workspace.requests.empty())
    {
        entry.waiting.erase({workspace.served, id});
    }
    queue.positions.erase(request.entry_id);
    queue.deadlines.erase({request.context.deadline, request.entry_id});
    return request;
}

// The service that a workspace would have received if all its queued requests
// were served.
double demand_of(const fair_queue& queue, const workspace_queue& workspace)
{
    return workspace.served + static_cast<double>(workspace.requests.size()) *
                                  queue.service_weight;
}

} // namespace

std::size_t queue_size(const fair_queue& queue)
{
    return queue.positions.size();
}

void queue_push(fair_queue& queue, gate_request request)
{
    class_queue& entry = class_of(queue, request.context.priority);
    const workspace_id id = request.context.workspace;
    workspace_queue& workspace = entry.workspaces[id];
    const std::uint64_t sequence = queue.next_sequence++;
    queue.positions.emplace(
        request.entry_id,
        queue_position{
            request.context.priority, id, sequence, request.context.deadline});
    queue.deadlines.emplace(request.context.deadline, request.entry_id);
    if (workspace.requests.empty())
    {
        entry.waiting.emplace(workspace.served, id);
    }
    workspace.requests.emplace(sequence, std::move(request));
    ++entry.size;
}

std::optional<gate_request> queue_pop(
    fair_queue& queue, queue_order order, time_point now,
    priority_class lowest_class)
{
    const auto classes = static_cast<std::size_t>(lowest_class) + 1;
    for (auto& entry : std::span(queue.classes).first(classes))
    {
        if (entry.waiting.empty())
        {
            continue;
        }
        const workspace_id id = entry.waiting.begin()->second;
        auto& requests = entry.workspaces[id].requests;
        const auto position = order == queue_order::newest_first
                                  ? std::prev(requests.end())
                                  : requests.begin();
        gate_request request = remove_request(queue, entry, id, position);
        add_service(queue, entry, id, now);
        return request;
    }
    return std::nullopt;
}

void queue_record_served(
    fair_queue& queue, const request_context& context, time_point now)
{
    add_service(
        queue, class_of(queue, context.priority), context.workspace, now);
}

std::optional<gate_request>
queue_evict(fair_queue& queue, const gate_request& incoming)
{
    for (auto level = priority_class_count; level-- > 0;)
    {
        class_queue& entry = queue.classes[level];
        const auto own = static_cast<std::size_t>(incoming.context.priority);
        if (level < own)
        {
            return std::nullopt;
        }
        if (entry.size == 0)
        {
            continue;
        }
        workspace_id largest = workspace_id::none;
        double largest_demand = -1.0;
        for (const auto& [served, id] : entry.waiting)
        {
            const double demand = demand_of(queue, entry.workspaces[id]);
            if (demand > largest_demand)
            {
                largest = id;
                largest_demand = demand;
            }
        }
        const workspace_id incoming_id = incoming.context.workspace;
        if (level == own && largest != incoming_id &&
            demand_of(queue, entry.workspaces[incoming_id]) >= largest_demand)
        {
            return std::nullopt;
        }
        auto& requests = entry.workspaces[largest].requests;
        return remove_request(queue, entry, largest, requests.begin());
    }
    return std::nullopt;
}

std::optional<gate_request>
queue_remove(fair_queue& queue, gate_entry_id entry_id)
{
    const auto found = queue.positions.find(entry_id);
    if (found == queue.positions.end())
    {
        return std::nullopt;
    }
    const queue_position position = found->second;
    class_queue& entry = class_of(queue, position.priority);
    auto& requests = entry.workspaces[position.workspace].requests;
    return remove_request(
        queue, entry, position.workspace, requests.find(position.sequence));
}

std::vector<gate_request> queue_take_expired(fair_queue& queue, time_point now)
{
    std::vector<gate_request> expired;
    while (!queue.deadlines.empty() && queue.deadlines.begin()->first <= now)
    {
        const gate_entry_id entry_id = queue.deadlines.begin()->second;
        expired.push_back(*queue_remove(queue, entry_id));
    }
    return expired;
}

std::vector<gate_request> queue_take_all(fair_queue& queue)
{
    return queue_take_expired(queue, time_point::max());
}

} // namespace cyclamenhold
