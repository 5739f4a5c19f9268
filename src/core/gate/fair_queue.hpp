// The bounded queue of a gate. Order: the more important class first, within a
// class the workspace that was served least, within a workspace the oldest
// request, or the newest under overload.
#pragma once

#include "core/base/request_context.hpp"
#include "core/base/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamenhold
{

// Identifies a request at one gate. Assigned by the caller, and not reused
// while the gate exists.
using gate_entry_id = std::uint64_t;

struct gate_request
{
    gate_entry_id entry_id = 0;
    request_context context;
    time_point arrived{};
    // The request was in flight when an upstream crashed. At most one suspect
    // runs at a time.
    bool suspect = false;
};

// `served` is the service that a workspace received, in requests weighted by an
// exponentially growing factor, so that older service counts less without being
// updated.
struct workspace_queue
{
    double served = 0.0;
    // In order of arrival.
    std::map<std::uint64_t, gate_request> requests;
};

struct class_queue
{
    std::map<workspace_id, workspace_queue> workspaces;
    // The workspaces with queued requests, the least served first.
    std::set<std::pair<double, workspace_id>> waiting;
    std::size_t size = 0;
};

struct queue_position
{
    priority_class priority = priority_class::normal;
    workspace_id workspace = workspace_id::none;
    std::uint64_t sequence = 0;
    time_point deadline{};
};

struct fair_queue
{
    std::array<class_queue, priority_class_count> classes;
    std::unordered_map<gate_entry_id, queue_position> positions;
    std::set<std::pair<time_point, gate_entry_id>> deadlines;
    std::uint64_t next_sequence = 0;
    // The present weight of one request of service, and when it was last
    // updated.
    double service_weight = 1.0;
    time_point weight_updated_at{};
};

enum class queue_order : std::uint8_t
{
    oldest_first,
    newest_first
};

[[nodiscard]] std::size_t queue_size(const fair_queue& queue);

void queue_push(fair_queue& queue, gate_request request);

// Removes the next request to start, of `lowest_class` or a more important
// class, and counts it as served.
[[nodiscard]] std::optional<gate_request> queue_pop(
    fair_queue& queue, queue_order order, time_point now,
    priority_class lowest_class = priority_class::low);

// Counts a request that was started without passing through the queue.
void queue_record_served(
    fair_queue& queue, const request_context& context, time_point now);

// Removes and returns the request that `incoming` replaces in a full queue: in
// the least important class, the oldest request of the workspace with the
// largest demand. Returns nothing when `incoming` itself should be refused.
[[nodiscard]] std::optional<gate_request>
queue_evict(fair_queue& queue, const gate_request& incoming);

// Removes a request by its id.
std::optional<gate_request>
queue_remove(fair_queue& queue, gate_entry_id entry_id);

// Removes all requests whose deadline is at or before `now`.
[[nodiscard]] std::vector<gate_request>
queue_take_expired(fair_queue& queue, time_point now);

// Removes all requests, in order of their deadlines.
[[nodiscard]] std::vector<gate_request> queue_take_all(fair_queue& queue);

} // namespace cyclamenhold
