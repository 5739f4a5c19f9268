// A ring buffer of the newest events of one host.
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

// A filter for events; an empty member matches all.
struct event_query
{
    // Exclusive.
    std::optional<hybrid_time> since;
    // Inclusive.
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
    // Grows up to `capacity`; from then on `oldest` is the index of the next
    // record to be overwritten.
    std::vector<event_record> records;
    std::size_t oldest = 0;
    std::uint64_t overwritten = 0;
    hybrid_time newest = hybrid_time::none;
};

// Appends `record`, whose time must not be before that of the newest record. A
// full ring overwrites its oldest record. A ring of capacity 0 stores nothing
// and counts every record as overwritten.
void add_event(event_ring& ring, event_record record);

// The events that match a query, oldest first.
struct event_selection
{
    std::vector<event_record> records;
    // The limit was reached before the last matching event.
    bool truncated = false;
};

// The oldest matching events, up to the limit. A reader continues with `since`
// set to the time of the last one.
[[nodiscard]] event_selection
select_events(const event_ring& ring, const event_query& query);

} // namespace cyclamenhold
