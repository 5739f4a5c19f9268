// Counts the call trees that pass through this host. Thread-safe.
//
// A call of an upstream does not name the request that it belongs to, but it
// expires when that request does: it is counted for the running request with
// the nearest deadline.
#pragma once

#include "core/base/time.hpp"
#include "core/trees/tree_counts.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>

namespace cyclamenhold
{

// A request that the local upstream runs.
struct observed_run
{
    route_id route = route_id::none;
    time_point deadline{};
    time_point started_at{};
    std::map<route_id, std::uint64_t> calls;
};

struct tree_observer
{
    // Nothing is counted otherwise. Set before the first request.
    bool is_enabled = false;
    std::mutex mutex;
    // Guarded by mutex, as are the members below.
    host_counts counts;
    std::unordered_map<std::uint64_t, observed_run> running;
    std::multimap<time_point, std::uint64_t> by_deadline;
};

// The deadlines of a call and of its parent differ by the time that the
// messages between the node and the upstream take, and by rounding to
// milliseconds.
constexpr duration deadline_tolerance = 50ms;

// Counts a root request that enters here.
void observe_arrival(tree_observer& observer, const tree_key& key);

// Records the start of a request at the gate. `run` is unique among those that
// run.
void observe_start(
    tree_observer& observer, std::uint64_t run, route_id route, bool is_call,
    time_point deadline, time_point now);

// Counts a call of the local upstream that expires at `deadline`. One that
// belongs to no running request is not counted.
void observe_call(tree_observer& observer, route_id route, time_point deadline);

// Records the end of a run. Only successes are counted: a run that failed has
// not made all of its calls.
void observe_end(
    tree_observer& observer, std::uint64_t run, bool succeeded, time_point now);

// Counts a call that the gate refused for lack of capacity.
void observe_refused_call(tree_observer& observer);

void observe_limit(
    tree_observer& observer, service_id service, std::uint32_t limit);

// Forgets the routes that the configuration does not have. A collector takes a
// route that returns for one that is new.
void forget_other_routes(
    tree_observer& observer, const std::set<route_id>& configured);

[[nodiscard]] host_counts counts_of(tree_observer& observer);

} // namespace cyclamenhold
