#include "core/events/event_ring.hpp"

#include <cassert>
#include <utility>

namespace cyclamenhold
{

bool matches(const event_query& query, const event_record& record)
{
    if (query.since && record.time <= *query.since)
    {
        return false;
    }
    if (query.until && record.time > *query.until)
    {
        return false;
    }
    if (query.trace && record.what.trace != *query.trace)
    {
        return false;
    }
    return !query.workspace || record.what.workspace == *query.workspace;
}

void add_event(event_ring& ring, event_record record)
{
    assert(record.time >= ring.newest);
    ring.newest = record.time;
    if (ring.records.size() < ring.capacity)
    {
        ring.records.push_back(std::move(record));
        return;
    }
    ++ring.overwritten;
    if (ring.capacity == 0)
    {
        return;
    }
    ring.records[ring.oldest] = std::move(record);
    ring.oldest = (ring.oldest + 1) % ring.capacity;
}

event_selection select_events(const event_ring& ring, const event_query& query)
{
    event_selection selection;
    const std::size_t size = ring.records.size();
    for (std::size_t index = 0; index < size; ++index)
    {
        const event_record& record = ring.records[(ring.oldest + index) % size];
        if (!matches(query, record))
        {
            continue;
        }
        if (selection.records.size() == query.limit)
        {
            selection.truncated = true;
            break;
        }
        selection.records.push_back(record);
    }
    return selection;
}

} // namespace cyclamenhold
