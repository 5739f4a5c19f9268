#include "core/routing/link_health.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

// A link that is checked at each heartbeat interval of virtual time. The side
// that dialled sends a heartbeat at each check.
struct checked_link
{
    explicit checked_link(bool is_dialled_here)
    {
        health.is_dialled_here = is_dialled_here;
        record_link_receive(health, now);
        begin_link_check(health, now);
    }

    // Runs for `time`; the peer answers each heartbeat after `answer_time`, or
    // never if that is the maximum.
    void run(duration time, duration answer_time)
    {
        for (const time_point end = now + time; now < end;)
        {
            if (health.is_dialled_here)
            {
                record_link_send(health, now);
            }
            if (answer_time < heartbeat_interval)
            {
                record_link_receive(health, now + answer_time);
            }
            now += heartbeat_interval;
            begin_link_check(health, now);
        }
    }

    link_health health;
    time_point now{100s};
};

constexpr duration never = duration::max();

// Guards against a peer that is avoided because it is slow to answer.
TEST(link_health, answers_within_an_interval_are_in_time)
{
    checked_link link(true);
    for (int i = 0; i < 100; ++i)
    {
        link.run(250ms, 240ms);
        // A request just after the check.
        record_link_send(link.health, link.now);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::healthy);
        EXPECT_EQ(
            state_of_link(link.health, link.now + 500ms), link_state::healthy);
    }
}

// Guards against requests that are sent into a link whose peer has become
// silent without closing it.
TEST(link_health, silence_is_detected)
{
    {
        SCOPED_TRACE("avoided after 600 ms, given up after 2 s");
        checked_link link(true);
        link.run(500ms, never);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::healthy);
        link.run(250ms, never);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::avoided);
        link.run(1'500ms, never);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::silent);
    }
    {
        SCOPED_TRACE("a request after a long idle time is not late at once");
        checked_link link(true);
        link.run(30s, 1ms);
        record_link_send(link.health, link.now);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::healthy);
    }
    {
        SCOPED_TRACE("the side that did not dial gives up after 2 s as well");
        checked_link link(false);
        link.run(2s, never);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::healthy);
        link.run(250ms, never);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::silent);
    }
}

// Guards against a host that was paused for some seconds and gives up the
// requests on all its links at its wake, before it has read the frames that
// arrived meanwhile.
TEST(link_health, own_pause_is_not_silence_of_the_peer)
{
    for (const bool is_dialled_here : {true, false})
    {
        SCOPED_TRACE(is_dialled_here);
        checked_link link(is_dialled_here);
        link.run(250ms, never);
        link.now += 5s;
        begin_link_check(link.health, link.now);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::healthy);
        {
            SCOPED_TRACE("a peer that stays silent is given up after that");
            link.run(2'250ms, never);
            EXPECT_EQ(state_of_link(link.health, link.now), link_state::silent);
        }
    }
}

} // namespace
} // namespace cyclamenhold
