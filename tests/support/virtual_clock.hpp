// A discrete-event loop on a virtual clock.
#pragma once

#include "core/base/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace cyclamenhold
{

struct virtual_event
{
    time_point at{};
    std::uint64_t sequence = 0;
    std::function<void()> action;
};

struct later_virtual_event
{
    bool operator()(const virtual_event& left, const virtual_event& right) const
    {
        return std::pair(left.at, left.sequence) >
               std::pair(right.at, right.sequence);
    }
};

struct virtual_clock
{
    time_point now{1000s};
    std::uint64_t next_sequence = 0;
    std::priority_queue<
        virtual_event, std::vector<virtual_event>, later_virtual_event>
        events;
};

inline void
run_after(virtual_clock& clock, duration delay, std::function<void()> action)
{
    clock.events.push(
        {clock.now + delay, clock.next_sequence++, std::move(action)});
}

// Runs the events up to and including `end`.
inline void run_until(virtual_clock& clock, time_point end)
{
    while (!clock.events.empty() && clock.events.top().at <= end)
    {
        virtual_event next = clock.events.top();
        clock.events.pop();
        clock.now = next.at;
        next.action();
    }
    clock.now = end;
}

} // namespace cyclamenhold
