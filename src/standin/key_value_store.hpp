// An in-memory stand-in for the platform's key-value service: versions,
// compare-and-swap, leases and watches, with faults that can be changed while
// it runs. Time advances only by the `now` that callers pass. Not thread-safe.
#pragma once

#include "core/base/random.hpp"
#include "core/base/time.hpp"
#include "ports/platform.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenhold
{

constexpr std::size_t max_store_value_size = 1'000'000;
constexpr std::size_t max_store_key_size = 1'024;

// The active faults. They may be changed between any two calls.
struct store_faults
{
    // No call takes effect. Each call is answered `unavailable` after its
    // timeout, and each pending watch at once.
    bool down = false;
    // Latency of each call: half before it takes effect and half after. A call
    // that would be answered after its timeout is answered `unavailable` at
    // the timeout, but still takes effect.
    duration delay{};
    // Number of next writes that take effect but are answered `unavailable`.
    std::uint32_t lose_next_answers = 0;
    // Probability that any other write is treated in this way.
    double lose_answer_probability = 0.0;
    // Calls in excess of this number per second are answered `rejected`; zero
    // for no limit.
    std::uint32_t calls_per_second = 0;
};

// Counters since the start. `by_operation` includes calls that were rejected.
struct store_counts
{
    std::array<std::uint64_t, enum_names<platform_operation>::table.size()>
        by_operation{};
    std::uint64_t rejected = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t expired_leases = 0;
};

// Identifies the caller of a call; assigned by the user of the store.
using store_caller = std::uint64_t;

struct store_answer
{
    store_caller caller = 0;
    platform_reply reply;
};

struct stored_value
{
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
};

struct store_lease
{
    duration lease_time{};
    time_point expires_at{};
};

// A call that has not taken effect yet, or a watch that waits for a change.
struct pending_call
{
    store_caller caller = 0;
    platform_call call;
    time_point received_at{};
};

struct key_value_store
{
    store_faults faults;
    store_counts counts;
    random_source random{1};
    // Increases with each write, each deletion, and each removal of a lease
    // that has keys.
    std::uint64_t revision = 0;
    std::map<std::string, stored_value> values;
    std::map<std::uint64_t, store_lease> leases;
    std::uint64_t next_lease = 1;
    // Rises each time that the store goes back to a copy.
    std::uint64_t era = 1;
    // Calls by the time at which they take effect.
    std::multimap<time_point, pending_call> in_transit;
    // Waiting watches by the time at which their wait ends.
    std::multimap<time_point, pending_call> watches;
    // Answers by the time at which they are delivered.
    std::multimap<time_point, store_answer> answers;
    time_point rate_window_start{};
    std::uint32_t calls_in_window = 0;
};

// Accepts a call. store_poll returns its answer, at the same `now` if no fault
// delays it.
void store_call(
    key_value_store& store, store_caller caller, const platform_call& call,
    time_point now);

// Advances the time to `now` and returns the answers that are due, in order.
[[nodiscard]] std::vector<store_answer>
store_poll(key_value_store& store, time_point now);

// The next time at which store_poll may return an answer or execute a call;
// time_point::max() if nothing is pending.
[[nodiscard]] time_point store_due(const key_value_store& store);

// Drops the watches, reads and answers of a caller that has disconnected. Its
// writes in transit still take effect.
void store_drop_caller(key_value_store& store, store_caller caller);

// Expires a lease before its time, as if its holder had not renewed it.
void store_expire_lease(
    key_value_store& store, std::uint64_t lease, time_point now);

// Expires all leases.
void store_expire_all_leases(key_value_store& store, time_point now);

// What a copy of the store holds.
struct store_copy
{
    std::uint64_t revision = 0;
    std::map<std::string, stored_value> values;
    std::uint64_t next_lease = 1;
};

[[nodiscard]] store_copy take_copy(const key_value_store& store);

// Goes back to an earlier copy: revisions and leases are given out again,
// entries under leases are gone, and waiting watches end without a reply.
void store_go_back(
    key_value_store& store, const store_copy& copy, time_point now);

// Calls received since the start: all, and those of one operation.
[[nodiscard]] std::uint64_t store_call_count(const key_value_store& store);
[[nodiscard]] std::uint64_t
store_call_count(const key_value_store& store, platform_operation operation);

// Whether an operation changes the store or a lease.
[[nodiscard]] constexpr bool is_store_write(platform_operation operation)
{
    switch (operation)
    {
    case platform_operation::get:
    case platform_operation::list:
    case platform_operation::watch:
        return false;
    case platform_operation::compare_and_swap:
    case platform_operation::compare_and_delete:
    case platform_operation::lease_grant:
    case platform_operation::lease_renew:
    case platform_operation::lease_revoke:
        return true;
    }
    return false;
}

} // namespace cyclamenhold
