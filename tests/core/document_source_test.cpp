#include "support/document_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cyclamenhold
{
namespace
{

// An older or malformed document must never replace a newer one, and no version
// may be missed between a read and a watch.
TEST(document_source, versions_never_decrease)
{
    document_fixture node;
    auto call = node.next_call();
    ASSERT_TRUE(call);
    EXPECT_EQ(call->operation, platform_operation::get);
    node.answer(
        *call, platform_status::ok, {{"document", "version 7", 40}}, 41);
    EXPECT_EQ(node.chain.current->revision, 7U);
    {
        SCOPED_TRACE("the watch starts at the revision of the read");
        call = node.next_call();
        ASSERT_TRUE(call);
        EXPECT_EQ(call->operation, platform_operation::watch);
        EXPECT_EQ(call->expected_version, 41U);
    }
    {
        SCOPED_TRACE("the last of several versions is applied");
        node.answer(
            *call, platform_status::ok,
            {{"document", "version 9", 42}, {"document", "version 12", 43}},
            43);
        EXPECT_EQ(node.chain.current->revision, 12U);
    }
    {
        SCOPED_TRACE("an older version is ignored");
        call = node.next_call();
        node.answer(
            *call, platform_status::ok, {{"document", "version 11", 44}}, 44);
        EXPECT_EQ(node.chain.current->revision, 12U);
    }
    {
        SCOPED_TRACE("a malformed document is rejected");
        call = node.next_call();
        node.answer(*call, platform_status::ok, {{"document", "?", 45}}, 45);
        EXPECT_EQ(node.chain.current->revision, 12U);
        EXPECT_EQ(
            node.actions.events.back().kind,
            event_kind::configuration_rejected);
    }
    {
        SCOPED_TRACE("lost history makes the node read the document again");
        call = node.next_call();
        node.answer(*call, platform_status::history_lost);
        call = node.next_call();
        ASSERT_TRUE(call);
        EXPECT_EQ(call->operation, platform_operation::get);
    }
}

// A newer version is applied though parts of it are unreadable, because it may
// withdraw keys. The log names the places, in one bounded line.
TEST(document_source, incomplete_version_is_applied_and_reported)
{
    document_fixture node;
    node.answer(
        *node.next_call(), platform_status::ok,
        {{"document", "version 7 912", 40}}, 41);
    EXPECT_EQ(node.chain.current->revision, 7U);
    const auto reported = std::ranges::find(
        node.actions.events, event_kind::configuration_incomplete,
        &event::kind);
    ASSERT_NE(reported, node.actions.events.end());
    EXPECT_NE(
        reported->detail.find("version 7: 912 findings"), std::string::npos)
        << reported->detail;
    EXPECT_NE(reported->detail.find("/0: is odd"), std::string::npos);
    EXPECT_LT(reported->detail.size(), 1'000U);
    {
        SCOPED_TRACE("it holds until a whole version replaces it");
        node.actions.events.clear();
        node.answer(
            *node.next_call(), platform_status::ok,
            {{"document", "version 8", 42}}, 43);
        EXPECT_TRUE(node.chain.current->unreadable.empty());
        EXPECT_EQ(
            std::ranges::count(
                node.actions.events, event_kind::configuration_incomplete,
                &event::kind),
            0);
    }
}

// The time of the last confirmation must not be later than the platform's
// answer proves, or stale keys would be accepted for too long.
TEST(document_source, confirmation_times_of_the_newest_version)
{
    document_fixture node;
    auto call = node.next_call();
    const time_point read_at = node.now;
    node.now += 300ms;
    node.answer(*call, platform_status::ok, {{"document", "version 7", 1}}, 1);
    {
        SCOPED_TRACE("a read confirms the time when it was started");
        EXPECT_EQ(
            configuration_confirmed_at(node.chain, node.members), read_at);
    }
    {
        SCOPED_TRACE("a full watch confirms the end of its wait time");
        call = node.next_call();
        const time_point started_at = node.now;
        node.now += 2'100ms;
        node.answer(*call, platform_status::ok, {}, 1);
        EXPECT_EQ(
            configuration_confirmed_at(node.chain, node.members),
            started_at + 2s);
    }
    {
        SCOPED_TRACE("a watch that ends early confirms only its start");
        call = node.next_call();
        const time_point started_at = node.now;
        node.now += 500ms;
        node.answer(*call, platform_status::ok, {}, 1);
        EXPECT_EQ(
            configuration_confirmed_at(node.chain, node.members), started_at);
    }
    {
        SCOPED_TRACE("a peer's read counts only while no newer version is "
                     "reported");
        node.members.platform_read_at = node.now;
        node.members.highest_revision = 7;
        EXPECT_EQ(
            configuration_confirmed_at(node.chain, node.members), node.now);
        node.members.highest_revision = 8;
        EXPECT_LT(
            configuration_confirmed_at(node.chain, node.members), node.now);
    }
}

// The log must tell a call that was given up late from a thread that ran late,
// so it has the time that a failed call was out and the time without an answer.
TEST(document_source, platform_events_say_how_long_no_answer_came)
{
    document_fixture node;
    node.answer(
        *node.next_call(), platform_status::ok, {{"document", "version 7", 1}},
        1);
    const auto watch = node.next_call();
    ASSERT_TRUE(watch);
    node.now += 1'250ms;
    node.actions.events.clear();
    node.answer(*watch, platform_status::unavailable);
    ASSERT_EQ(node.actions.events.size(), 1U);
    EXPECT_EQ(
        node.actions.events.front().detail, "watch: unavailable after 1.250 s");
    {
        SCOPED_TRACE("the next answer");
        node.now += 750ms;
        const auto next = node.next_call();
        ASSERT_TRUE(next);
        node.actions.events.clear();
        node.answer(*next, platform_status::ok, {}, 1);
        ASSERT_EQ(node.actions.events.size(), 1U);
        EXPECT_EQ(
            node.actions.events.front().detail,
            "failed calls: 1, last answer 2.000 s ago");
    }
}

// A node that the platform refuses must get the document from a peer, and must
// neither stop retrying nor retry without a pause.
TEST(document_source, a_refused_node_gets_the_document_from_a_peer)
{
    document_fixture refused;
    document_fixture peer;
    auto call = peer.next_call();
    peer.answer(*call, platform_status::ok, {{"document", "version 7", 1}}, 1);
    {
        SCOPED_TRACE("it retries about once a second");
        int calls = 0;
        for (int i = 0; i < 100; ++i)
        {
            if (call = refused.next_call(); call)
            {
                ++calls;
                refused.answer(*call, platform_status::unavailable);
            }
            refused.now += 100ms;
        }
        EXPECT_GE(calls, 10);
        EXPECT_LE(calls, 30);
    }
    {
        SCOPED_TRACE("a peer sends the document on request");
        const auto requester = static_cast<host_id>(1);
        const auto holder = static_cast<host_id>(2);
        refused.members.highest_revision = 7;
        refused.members.highest_revision_host = holder;
        refused.actions = {};
        for (int i = 0; i < 10 && refused.actions.messages.empty(); ++i)
        {
            (void)refused.next_call();
            refused.now += 100ms;
        }
        ASSERT_EQ(refused.actions.messages.size(), 1U);
        const auto& pull = refused.actions.messages.front();
        EXPECT_EQ(pull.to, holder);
        peer.actions = {};
        document_on_message(
            peer.state, peer.chain, {requester, pull.kind, pull.payload},
            peer.now, peer.actions);
        ASSERT_FALSE(peer.actions.messages.empty());
        for (const auto& part : peer.actions.messages)
        {
            document_on_message(
                refused.state, refused.chain, {holder, part.kind, part.payload},
                refused.now, refused.actions);
        }
        EXPECT_EQ(refused.chain.current->revision, 7U);
    }
    {
        SCOPED_TRACE("a malformed message is reported and ignored");
        const std::vector<std::uint8_t> bytes{1, 2, 3};
        document_on_message(
            refused.state, refused.chain,
            {static_cast<host_id>(3), message_kind::configuration, bytes},
            refused.now, refused.actions);
        EXPECT_EQ(refused.actions.events.back().kind, event_kind::bad_input);
    }
}

} // namespace
} // namespace cyclamenhold
