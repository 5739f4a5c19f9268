#include "standin/key_value_store.hpp"

#include <gtest/gtest.h>

namespace cyclamenhold
{
namespace
{

constexpr time_point start{100s};

platform_call
call_of(platform_operation operation, std::string key, std::string value = {})
{
    platform_call call;
    call.operation = operation;
    call.key = std::move(key);
    call.value = std::move(value);
    return call;
}

platform_call swap_of(std::string key, std::string value, std::uint64_t version)
{
    auto call = call_of(
        platform_operation::compare_and_swap, std::move(key), std::move(value));
    call.expected_version = version;
    return call;
}

// Makes the call and returns its reply, which must be the only one that is due.
platform_reply
call_and_poll(key_value_store& store, const platform_call& call, time_point now)
{
    store_call(store, 1, call, now);
    const auto answers = store_poll(store, now);
    EXPECT_EQ(answers.size(), 1U);
    return answers.empty() ? platform_reply{} : answers.front().reply;
}

TEST(key_value_store, versions)
{
    key_value_store store;
    const auto written = call_and_poll(store, swap_of("a/1", "x", 0), start);
    ASSERT_EQ(written.status, platform_status::ok);
    const std::uint64_t version = written.entries.at(0).version;
    {
        SCOPED_TRACE(
            "a swap with an outdated version returns the current entry");
        const auto reply = call_and_poll(store, swap_of("a/1", "y", 0), start);
        EXPECT_EQ(reply.status, platform_status::conflict);
        EXPECT_EQ(reply.entries.at(0).value, "x");
    }
    {
        SCOPED_TRACE("lists are ordered, limited and restricted to the prefix");
        ASSERT_EQ(
            call_and_poll(store, swap_of("a/0", "z", 0), start).status,
            platform_status::ok);
        ASSERT_EQ(
            call_and_poll(store, swap_of("b/0", "z", 0), start).status,
            platform_status::ok);
        auto list = call_of(platform_operation::list, "a/");
        EXPECT_EQ(call_and_poll(store, list, start).entries.size(), 2U);
        list.limit = 1;
        EXPECT_EQ(call_and_poll(store, list, start).entries.at(0).key, "a/0");
    }
    {
        SCOPED_TRACE("a delete needs the current version, too");
        auto remove = call_of(platform_operation::compare_and_delete, "a/1");
        remove.expected_version = version + 1;
        EXPECT_EQ(
            call_and_poll(store, remove, start).status,
            platform_status::conflict);
        remove.expected_version = version;
        EXPECT_EQ(
            call_and_poll(store, remove, start).status, platform_status::ok);
        EXPECT_EQ(
            call_and_poll(store, call_of(platform_operation::get, "a/1"), start)
                .status,
            platform_status::not_found);
    }
    {
        SCOPED_TRACE("a value above the size limit is rejected");
        const std::string large(max_store_value_size + 1, 'x');
        EXPECT_EQ(
            call_and_poll(store, swap_of("c", large, 0), start).status,
            platform_status::rejected);
    }
}

TEST(key_value_store, leases)
{
    key_value_store store;
    auto grant = call_of(platform_operation::lease_grant, "");
    grant.lease_time = 10s;
    const std::uint64_t lease = call_and_poll(store, grant, start).lease;
    ASSERT_NE(lease, 0U);
    auto write = swap_of("seed/1", "x", 0);
    write.lease = lease;
    ASSERT_EQ(call_and_poll(store, write, start).status, platform_status::ok);
    auto renew = call_of(platform_operation::lease_renew, "");
    renew.lease = lease;
    const auto get = call_of(platform_operation::get, "seed/1");
    {
        SCOPED_TRACE("a renewed lease keeps its keys");
        EXPECT_EQ(
            call_and_poll(store, renew, start + 9s).status,
            platform_status::ok);
        EXPECT_EQ(
            call_and_poll(store, get, start + 18s).status, platform_status::ok);
    }
    {
        SCOPED_TRACE("an expired lease deletes its keys");
        EXPECT_EQ(
            call_and_poll(store, get, start + 19s).status,
            platform_status::not_found);
        EXPECT_EQ(
            call_and_poll(store, renew, start + 19s).status,
            platform_status::lease_expired);
        write.expected_version = 0;
        EXPECT_EQ(
            call_and_poll(store, write, start + 19s).status,
            platform_status::lease_expired);
    }
}

TEST(key_value_store, watches)
{
    key_value_store store;
    auto watch = call_of(platform_operation::watch, "change/");
    watch.wait = 5s;
    {
        SCOPED_TRACE("a watch waits for a change of a key with its prefix");
        store_call(store, 7, watch, start);
        call_and_poll(store, swap_of("other", "x", 0), start + 1s);
        EXPECT_TRUE(store_poll(store, start + 1s).empty());
        store_call(store, 1, swap_of("change/1", "x", 0), start + 2s);
        const auto answers = store_poll(store, start + 2s);
        ASSERT_EQ(answers.size(), 2U);
        EXPECT_EQ(answers.at(1).caller, 7U);
        EXPECT_EQ(answers.at(1).reply.entries.at(0).key, "change/1");
    }
    {
        SCOPED_TRACE("it replies at once if there is a newer version");
        EXPECT_EQ(call_and_poll(store, watch, start + 3s).entries.size(), 1U);
    }
    {
        SCOPED_TRACE("it replies without entries after its wait");
        watch.expected_version = store.revision;
        store_call(store, 7, watch, start + 3s);
        EXPECT_EQ(store_due(store), start + 8s);
        EXPECT_TRUE(store_poll(store, start + 7s).empty());
        const auto answers = store_poll(store, start + 8s);
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_TRUE(answers.front().reply.entries.empty());
    }
}

TEST(key_value_store, faults)
{
    key_value_store store;
    const auto get = call_of(platform_operation::get, "a");
    {
        SCOPED_TRACE("a write takes effect though its reply is lost");
        store.faults.lose_next_answers = 1;
        store_call(store, 1, swap_of("a", "x", 0), start);
        EXPECT_TRUE(store_poll(store, start).empty());
        EXPECT_EQ(call_and_poll(store, get, start).status, platform_status::ok);
        const auto answers = store_poll(store, start + 2s);
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_EQ(answers.front().reply.status, platform_status::unavailable);
    }
    {
        SCOPED_TRACE("a slow store applies a write after the caller's timeout");
        store.faults.delay = 6s;
        store_call(store, 1, swap_of("late", "x", 0), start);
        EXPECT_TRUE(store_poll(store, start + 2s).empty());
        EXPECT_FALSE(store.values.contains("late"));
        const auto answers = store_poll(store, start + 3s);
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_EQ(answers.front().reply.status, platform_status::unavailable);
        EXPECT_TRUE(store.values.contains("late"));
        store.faults.delay = {};
    }
    {
        SCOPED_TRACE("calls above the rate limit are rejected");
        store.faults.calls_per_second = 1;
        EXPECT_EQ(
            call_and_poll(store, get, start + 5s).status, platform_status::ok);
        EXPECT_EQ(
            call_and_poll(store, get, start + 5s).status,
            platform_status::rejected);
        EXPECT_EQ(
            call_and_poll(store, get, start + 6s).status, platform_status::ok);
        store.faults.calls_per_second = 0;
    }
    {
        SCOPED_TRACE("a store that is down applies nothing");
        store.faults.down = true;
        store_call(store, 1, swap_of("b", "x", 0), start + 7s);
        EXPECT_TRUE(store_poll(store, start + 8s).empty());
        EXPECT_EQ(store_poll(store, start + 9s).size(), 1U);
        EXPECT_FALSE(store.values.contains("b"));
    }
    EXPECT_EQ(store_call_count(store, platform_operation::get), 4U);
    EXPECT_EQ(store_call_count(store), 7U);
}

} // namespace
} // namespace cyclamenhold
