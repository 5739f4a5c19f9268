#include "core/events/event_ring.hpp"

#include <algorithm>
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
    std::vector<const event_record*> matching;
    for (const auto& record : ring.records)
    {
        if (matches(query, record))
        {
            matching.push_back(&record);
        }
    }
    // Threads may add their events out of order by a little.
    std::ranges::sort(
        matching,
        [](const event_record* left, const event_record* right)
        {
            return left->time < right->time;
        });
    event_selection selection;
    selection.truncated = matching.size() > query.limit;
    matching.resize(std::min(matching.size(), query.limit));
    selection.records.reserve(matching.size());
    for (const event_record* const record : matching)
    {
        selection.records.push_back(*record);
    }
    return selection;
}

} // namespace cyclamenhold
