#include "adapters/shared_event_ring.hpp"

#include "adapters/clock.hpp"

#include <utility>

namespace cyclamenhold
{
namespace
{

// Atomically replaces the clock's time by advance(time); returns the new time.
template <class Advance>
hybrid_time advance_clock(std::atomic<hybrid_time>& clock, Advance advance)
{
    hybrid_time last = clock.load(std::memory_order_relaxed);
    hybrid_time next = advance(last);
    while (!clock.compare_exchange_weak(
        last, next, std::memory_order_acq_rel, std::memory_order_relaxed))
    {
        next = advance(last);
    }
    return next;
}

} // namespace

shared_event_ring::shared_event_ring(
    host_id host, std::string name, std::size_t capacity)
    : host_(host), name_(std::move(name))
{
    ring_.capacity = capacity;
}

void shared_event_ring::record(const event& what)
{
    event_record record{hybrid_time::none, host_, what};
    const std::lock_guard lock(mutex_);
    // Stamped under the lock, so that the ring is in the order of time and a
    // query does not sort it while request threads wait for the lock.
    record.time = stamp_send();
    add_event(ring_, std::move(record));
}

hybrid_time shared_event_ring::stamp_send()
{
    const std::uint64_t wall_ms = wall_clock_ms();
    return advance_clock(
        clock_,
        [wall_ms](hybrid_time last)
        {
            return next_hybrid_time(last, wall_ms);
        });
}

void shared_event_ring::record_receive(hybrid_time remote)
{
    const std::uint64_t wall_ms = wall_clock_ms();
    advance_clock(
        clock_,
        [remote, wall_ms](hybrid_time last)
        {
            return receive_hybrid_time(last, remote, wall_ms);
        });
}

event_page shared_event_ring::page(const event_query& query) const
{
    event_page page;
    page.host = host_;
    page.name = name_;
    const std::lock_guard lock(mutex_);
    auto [records, truncated] = select_events(ring_, query);
    page.records = std::move(records);
    page.truncated = truncated;
    page.overwritten = ring_.overwritten;
    return page;
}

std::uint64_t shared_event_ring::overwritten() const
{
    const std::lock_guard lock(mutex_);
    return ring_.overwritten;
}

} // namespace cyclamenhold
