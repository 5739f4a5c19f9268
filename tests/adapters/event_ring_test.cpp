#include "adapters/shared_event_ring.hpp"

#include <algorithm>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

// Guards against time stamps that are taken outside the ring's lock: threads
// would then add events out of the order of time, and queries assume that
// order.
TEST(shared_event_ring, concurrent_records_are_in_time_order)
{
    constexpr std::size_t thread_count = 4;
    constexpr std::size_t event_count = 5'000;
    shared_event_ring ring(
        make_host_id(1, 7400), "n1", thread_count * event_count);
    std::vector<std::jthread> threads;
    threads.reserve(thread_count);
    for (std::size_t index = 0; index < thread_count; ++index)
    {
        threads.emplace_back(
            [&ring]
            {
                for (std::size_t count = 0; count < event_count; ++count)
                {
                    ring.record({});
                }
            });
    }
    threads.clear();
    event_query query;
    query.limit = thread_count * event_count;
    const event_page page = ring.page(query);
    {
        SCOPED_TRACE("no event is lost and all time stamps differ");
        ASSERT_EQ(page.records.size(), thread_count * event_count);
        const auto is_not_earlier =
            [](const event_record& left, const event_record& right)
        {
            return left.time >= right.time;
        };
        EXPECT_EQ(
            std::ranges::adjacent_find(page.records, is_not_earlier),
            page.records.end());
    }
    {
        SCOPED_TRACE(
            "a message from a host with a later clock advances this clock");
        const hybrid_time ahead =
            make_hybrid_time(wall_ms_of(page.records.back().time) + 5'000);
        ring.record_receive(ahead);
        EXPECT_GT(ring.stamp_send(), ahead);
    }
}

} // namespace
} // namespace cyclamenhold
