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
    int run(duration time, bool is_busy, bool answers)
    {
        int sent = 0;
        for (const time_point end = now + time; now < end; now += 50ms)
        {
            begin_link_check(health, now);
            if (is_heartbeat_due(health, is_busy, now))
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

// Guards against heartbeats that make up most of the traffic of a large fleet.
TEST(link_health, heartbeats_follow_the_use_of_a_link)
{
    {
        SCOPED_TRACE("a link without requests sends one a second");
        checked_link link(true);
        EXPECT_EQ(link.run(10s, false, true), 9);
    }
    {
        SCOPED_TRACE("a link with requests in flight sends four a second");
        checked_link link(true);
        EXPECT_EQ(link.run(10s, true, true), 39);
    }
    {
        SCOPED_TRACE("frames from the peer replace heartbeats");
        checked_link link(true);
        int sent = 0;
        for (int i = 0; i < 100; ++i)
        {
            record_link_receive(link.health, link.now);
            sent += link.run(100ms, true, true);
        }
        EXPECT_EQ(sent, 0);
    }
    {
        SCOPED_TRACE("the side that did not dial only answers");
        checked_link link(false);
        EXPECT_EQ(link.run(10s, true, false), 0);
    }
}

// Guards against requests that are sent into a link whose peer has become
// silent without closing it.
TEST(link_health, silence_is_detected)
{
    {
        SCOPED_TRACE("with requests in flight: avoided, then given up");
        checked_link link(true);
        link.run(850ms, true, false);
        EXPECT_EQ(
            state_of_link(link.health, true, link.now), link_state::healthy);
        link.run(50ms, true, false);
        EXPECT_EQ(
            state_of_link(link.health, true, link.now), link_state::avoided);
        link.run(1'400ms, true, false);
        EXPECT_EQ(
            state_of_link(link.health, true, link.now), link_state::silent);
    }
    {
        SCOPED_TRACE("without requests: within 3.1 s");
        checked_link link(true);
        link.run(3'100ms, false, false);
        EXPECT_EQ(
            state_of_link(link.health, false, link.now), link_state::silent);
    }
    {
        SCOPED_TRACE("a request after a long idle time is not late at once");
        checked_link link(true);
        link.run(30s, false, true);
        record_link_send(link.health, link.now);
        EXPECT_EQ(
            state_of_link(link.health, true, link.now), link_state::healthy);
    }
    {
        SCOPED_TRACE("the side that did not dial ends requests after 2 s");
        checked_link link(false);
        link.run(2'050ms, true, false);
        EXPECT_EQ(
            state_of_link(link.health, true, link.now), link_state::silent);
        EXPECT_EQ(
            state_of_link(link.health, false, link.now), link_state::healthy);
        link.run(2s, false, false);
        EXPECT_EQ(
            state_of_link(link.health, false, link.now), link_state::silent);
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
        link.run(300ms, true, false);
        link.now += 5s;
        begin_link_check(link.health, link.now);
        EXPECT_EQ(
            state_of_link(link.health, true, link.now), link_state::healthy);
        {
            SCOPED_TRACE("a peer that stays silent is given up after that");
            link.run(2'100ms, true, false);
            EXPECT_EQ(
                state_of_link(link.health, true, link.now), link_state::silent);
        }
    }
}

} // namespace
} // namespace cyclamenhold
