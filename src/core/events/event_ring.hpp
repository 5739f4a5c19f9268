// The newest events of one host, in a bounded ring.
#pragma once

#include "core/events/hybrid_clock.hpp"
#include "ports/events.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cyclamenhold
{

// An event with the time and the host that recorded it.
struct event_record
{
    hybrid_time time = hybrid_time::none;
    host_id host = host_id::none;
    event what;
};

// Which events are wanted; an empty member admits all.
struct event_query
{
    // Later than this.
    std::optional<hybrid_time> since;
    // Not later than this.
    std::optional<hybrid_time> until;
    std::optional<trace_id> trace;
    std::optional<workspace_id> workspace;
    std::size_t limit = 1000;
};

[[nodiscard]] bool
matches(const event_query& query, const event_record& record);

struct event_ring
{
    std::size_t capacity = 0;
    // Grows up to `capacity`; then `oldest` is the next to be overwritten.
    std::vector<event_record> records;
    std::size_t oldest = 0;
    std::uint64_t overwritten = 0;
    hybrid_time newest = hybrid_time::none;
};

// Keeps the record, which is no earlier than the one before; the oldest one
// gives way when the ring is full. A ring of capacity 0 keeps nothing and
// counts all as overwritten.
void add_event(event_ring& ring, event_record record);

// Events that were asked for, oldest first.
struct event_selection
{
    std::vector<event_record> records;
    // More would have matched but for the limit.
    bool truncated = false;
};

// The oldest matching events, up to the limit, so that a reader goes on with
// `since` set to the time of the last one.
[[nodiscard]] event_selection
select_events(const event_ring& ring, const event_query& query);

} // namespace cyclamenhold
