#include "core/routing/link_health.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

// A link that is checked at each heartbeat interval of virtual time.
struct checked_link
{
    checked_link()
    {
        health.last_received_at = now;
        begin_link_check(health, now);
    }

    // Runs for `time`; the peer answers the heartbeat of each check after
    // `answer_time`, or never if that is the maximum.
    void run(duration time, duration answer_time)
    {
        for (const time_point end = now + time; now < end;)
        {
            if (answer_time < heartbeat_interval)
            {
                health.last_received_at = now + answer_time;
            }
            now += heartbeat_interval;
            begin_link_check(health, now);
        }
    }

    [[nodiscard]] link_state state() const
    {
        return state_of_link(health, now);
    }

    link_health health;
    time_point now{100s};
};

constexpr duration never = duration::max();

// Guards against requests that are sent into a link whose peer has become
// silent without closing it, and against a peer that is avoided because it is
// slow to answer.
TEST(link_health, silence_is_detected)
{
    checked_link link;
    link.run(30s, 240ms);
    EXPECT_EQ(link.state(), link_state::healthy);
    {
        SCOPED_TRACE("avoided after 600 ms");
        link.run(500ms, never);
        EXPECT_EQ(link.state(), link_state::healthy);
        link.run(250ms, never);
        EXPECT_EQ(link.state(), link_state::avoided);
    }
    {
        SCOPED_TRACE("given up after 2 s");
        link.run(1s, never);
        EXPECT_EQ(link.state(), link_state::avoided);
        link.run(250ms, never);
        EXPECT_EQ(link.state(), link_state::silent);
    }
}

// Guards against a host that was paused for some seconds and gives up the
// requests on all its links at its wake, before it has read the frames that
// arrived meanwhile.
TEST(link_health, own_pause_is_not_silence_of_the_peer)
{
    checked_link link;
    link.run(250ms, never);
    link.now += 5s;
    begin_link_check(link.health, link.now);
    EXPECT_EQ(link.state(), link_state::healthy);
    {
        SCOPED_TRACE("a peer that stays silent is given up after that");
        link.run(2s, never);
        EXPECT_EQ(link.state(), link_state::silent);
    }
}

} // namespace
} // namespace cyclamenhold
