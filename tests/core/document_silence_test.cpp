// Changes of the document around a time in which the platform or the
// connections to it are silent.
#include "support/document_fixture.hpp"

#include "adapters/platform_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace cyclamenhold
{
namespace
{

// A platform that answers no call while it is silent, nor later any call that
// it received until then. Otherwise it answers reads at once, and watches on
// the first change or at the end of their wait. Its document changes once.
struct silent_platform
{
    time_point silent_from;
    time_point silent_until;
    time_point changed_at;
};

// What the platform does with a call that is sent at `sent_at` and given up at
// `expires_at`.
struct silent_platform_answer
{
    time_point at;
    bool is_lost = false;
};

std::uint64_t revision_at(const silent_platform& platform, time_point at)
{
    return at < platform.changed_at ? 1 : 2;
}

bool has_news(
    const silent_platform& platform, const platform_call& call, time_point at)
{
    return call.operation == platform_operation::get ||
           call.expected_version < revision_at(platform, at);
}

silent_platform_answer answer_of(
    const silent_platform& platform, const platform_call& call,
    time_point sent_at, time_point expires_at)
{
    time_point at = sent_at;
    if (!has_news(platform, call, sent_at))
    {
        const time_point wait_ends = sent_at + call.wait;
        at = sent_at < platform.changed_at
                 ? std::min(wait_ends, platform.changed_at)
                 : wait_ends;
    }
    const bool is_lost = at > expires_at || (sent_at <= platform.silent_until &&
                                             at >= platform.silent_from);
    return {is_lost ? expires_at : at, is_lost};
}

// How long after the end of the silence a node without peers applies the
// change. A call after a failure leaves the node `send_delay` later, within its
// time limit.
duration time_to_apply(const silent_platform& platform, duration send_delay)
{
    document_fixture node;
    std::optional<platform_call> call;
    silent_platform_answer answer;
    while (node.chain.current->revision < 8)
    {
        if (node.now > platform.silent_until + 20s)
        {
            return duration::max();
        }
        if (call && node.now >= answer.at)
        {
            const std::uint64_t revision = revision_at(platform, node.now);
            std::vector<platform_entry> entries;
            if (!answer.is_lost && has_news(platform, *call, node.now))
            {
                entries.push_back(
                    {"document", revision == 1 ? "version 7" : "version 8",
                     revision});
            }
            node.answer(
                *std::exchange(call, std::nullopt),
                answer.is_lost ? platform_status::unavailable
                               : platform_status::ok,
                entries, revision);
        }
        const bool has_failed = node.state.failures > 0;
        if (auto next = node.next_call())
        {
            answer = answer_of(
                platform, *next,
                node.now + (has_failed ? send_delay : duration::zero()),
                node.now + next->wait + next->timeout);
            call = std::move(next);
        }
        node.now += 10ms;
    }
    return node.now - platform.silent_until;
}

// After the platform or the connections to it were silent, a version confirmed
// since then was in force only when a watch of 3.5 s and a backoff had ended
// (CONFIG). A node without peers must apply it within the 3 s after which the
// platform counts as undisturbed, whatever the phase of its watch.
TEST(
    document_silence, a_change_after_a_silence_is_in_force_within_three_seconds)
{
    constexpr duration bound = 3s;
    constexpr duration configuration_bound = 2s;
    const duration send_delay = platform_connection_settings{}.max_backoff;
    for (duration silence{}; silence <= 9s; silence += 100ms)
    {
        for (duration phase{}; phase <= 2s; phase += 50ms)
        {
            const time_point from = time_point{100s} + phase;
            const time_point until = from + silence;
            const silent_platform platform{
                from, until, until + bound - configuration_bound};
            ASSERT_LE(time_to_apply(platform, send_delay), bound)
                << "silent for " << to_seconds(silence) << " s from "
                << to_seconds(phase) << " s after the start of a watch";
        }
    }
}

// A watch that was sent in the last moments of a silence is lost with it. It
// must have been given up when the next version comes, so that this one is in
// force in time (CONFIG).
TEST(document_silence, a_call_at_its_end_delays_no_later_change)
{
    constexpr duration silence = 3300ms;
    constexpr duration until_change = 3700ms;
    constexpr duration configuration_bound = 2s;
    const duration send_delay = platform_connection_settings{}.max_backoff;
    for (duration phase{}; phase <= 4s; phase += 10ms)
    {
        const time_point from = time_point{100s} + phase;
        const time_point until = from + silence;
        const silent_platform platform{from, until, until + until_change};
        ASSERT_LE(
            time_to_apply(platform, send_delay),
            until_change + configuration_bound)
            << "silent from " << to_seconds(phase) << " s";
    }
}

} // namespace
} // namespace cyclamenhold
