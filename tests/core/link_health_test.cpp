#include "core/routing/link_health.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

// A link that is checked every 50 ms of virtual time.
struct checked_link
{
    explicit checked_link(bool is_dialled_here)
    {
        health.is_dialled_here = is_dialled_here;
        record_link_receive(health, now);
    }

    // Runs for `time`; the peer answers each heartbeat while `answers`. Returns
    // the number of heartbeats sent.
    int run(duration time, bool answers)
    {
        int sent = 0;
        for (const time_point end = now + time; now < end; now += 50ms)
        {
            begin_link_check(health, now);
            if (is_heartbeat_due(health, now))
            {
                ++sent;
                health.last_heartbeat_at = now;
                record_link_send(health, now);
                if (answers)
                {
                    record_link_receive(health, now);
                }
            }
        }
        return sent;
    }

    link_health health;
    time_point now{100s};
};

// Guards against heartbeats of both sides, and on links with other frames.
TEST(link_health, one_side_sends_heartbeats)
{
    {
        SCOPED_TRACE("the side that dialled sends four a second");
        checked_link link(true);
        EXPECT_EQ(link.run(10s, true), 39);
    }
    {
        SCOPED_TRACE("frames from the peer replace them");
        checked_link link(true);
        int sent = 0;
        for (int i = 0; i < 100; ++i)
        {
            record_link_receive(link.health, link.now);
            sent += link.run(100ms, true);
        }
        EXPECT_EQ(sent, 0);
    }
    {
        SCOPED_TRACE("the side that did not dial only answers");
        checked_link link(false);
        EXPECT_EQ(link.run(10s, true), 0);
    }
}

// Guards against requests that are sent into a link whose peer has become
// silent without closing it.
TEST(link_health, silence_is_detected)
{
    {
        SCOPED_TRACE("avoided after 600 ms, given up after 2 s");
        checked_link link(true);
        link.run(850ms, false);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::healthy);
        link.run(50ms, false);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::avoided);
        link.run(1'400ms, false);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::silent);
    }
    {
        SCOPED_TRACE("a request after a long idle time is not late at once");
        checked_link link(true);
        link.run(30s, true);
        record_link_send(link.health, link.now);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::healthy);
    }
    {
        SCOPED_TRACE("the side that did not dial gives up after 2 s as well");
        checked_link link(false);
        link.run(2s, false);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::healthy);
        link.run(50ms, false);
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
        link.run(300ms, false);
        link.now += 5s;
        begin_link_check(link.health, link.now);
        EXPECT_EQ(state_of_link(link.health, link.now), link_state::healthy);
        {
            SCOPED_TRACE("a peer that stays silent is given up after that");
            link.run(2'100ms, false);
            EXPECT_EQ(state_of_link(link.health, link.now), link_state::silent);
        }
    }
}

} // namespace
} // namespace cyclamenhold
