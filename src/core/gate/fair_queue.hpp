// The bounded queue of a gate: the more important class first, inside a class
// the workspace that was served least, inside a workspace the oldest request,
// or under overload the newest.
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

// Names a request at one gate; chosen by the caller, unique in its lifetime.
using gate_entry_id = std::uint64_t;

struct gate_request
{
    gate_entry_id entry_id = 0;
    request_context context;
    time_point arrived{};
    // Was in flight at an upstream's death; runs apart from other suspects.
    bool suspect = false;
};

// Service that a workspace got, in requests weighted by an exponentially
// growing factor, so that older service counts less without being touched.
struct workspace_queue
{
    double served = 0.0;
    // By order of arrival.
    std::map<std::uint64_t, gate_request> requests;
};

struct class_queue
{
    std::map<workspace_id, workspace_queue> workspaces;
    // The workspaces that have requests, least served first.
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
    // What one request of service weighs now, and since when.
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

// The next request to start, of this class or a more important one, counted
// as served.
[[nodiscard]] std::optional<gate_request> queue_pop(
    fair_queue& queue, queue_order order, time_point now,
    priority_class lowest_class = priority_class::low);

// Counts a request that was started without waiting.
void queue_record_served(
    fair_queue& queue, const request_context& context, time_point now);

// Takes out the request that a newcomer displaces: of the least important
// class, there the oldest of the workspace whose share is largest. Nothing when
// the newcomer itself is the one that should go.
[[nodiscard]] std::optional<gate_request>
queue_evict(fair_queue& queue, const gate_request& newcomer);

// Takes out a request by its entry_id.
std::optional<gate_request>
queue_remove(fair_queue& queue, gate_entry_id entry_id);

// Takes out all requests whose deadline is not after `now`.
[[nodiscard]] std::vector<gate_request>
queue_take_expired(fair_queue& queue, time_point now);

// Takes out everything, in order of the deadlines.
[[nodiscard]] std::vector<gate_request> queue_take_all(fair_queue& queue);

} // namespace cyclamenhold
