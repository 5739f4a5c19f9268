// An in-memory stand-in for the platform's key-value service, driven with
// `now`: versions, compare-and-swap, leases and watches, with faults that can
// be switched while it runs. Single-threaded.
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

// Faults in force. They may be changed between any two calls.
struct store_faults
{
    // No call takes effect; all are answered `unavailable` after their
    // timeout, and waiting watches at once.
    bool down = false;
    // Added to each call: half before it takes effect and half after. A call
    // whose answer would be later than its timeout is answered `unavailable`
    // then, and takes effect all the same.
    duration delay{};
    // So many of the next writes take effect and are answered `unavailable`.
    std::uint32_t lose_next_answers = 0;
    // The same for each write with this probability.
    double lose_answer_probability = 0.0;
    // Calls above this number in a second are answered `rejected`; zero means
    // no limit.
    std::uint32_t calls_per_second = 0;
};

// Calls received since the start, also those that were refused.
struct store_counts
{
    std::array<std::uint64_t, enum_names<platform_operation>::table.size()>
        by_operation{};
    std::uint64_t rejected = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t expired_leases = 0;
};

// Who made a call, as the user of the store numbers its callers.
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

// A call on its way, or a watch that waits.
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
    // Grows with each write, deletion and lapsed lease.
    std::uint64_t revision = 0;
    std::map<std::string, stored_value> values;
    std::map<std::uint64_t, store_lease> leases;
    std::uint64_t next_lease = 1;
    // By the time at which they take effect.
    std::multimap<time_point, pending_call> in_transit;
    // By the time at which they give up.
    std::multimap<time_point, pending_call> watches;
    // By the time at which they are due.
    std::multimap<time_point, store_answer> answers;
    time_point rate_window_start{};
    std::uint32_t calls_in_window = 0;
};

// Takes a call; its answer comes out of store_poll, at once where nothing
// delays it.
void store_call(
    key_value_store& store, store_caller caller, const platform_call& call,
    time_point now);

// Lets time pass and takes the answers that are due, in order.
[[nodiscard]] std::vector<store_answer>
store_poll(key_value_store& store, time_point now);

// When store_poll may have something next.
[[nodiscard]] time_point store_due(const key_value_store& store);

// Drops the waiting calls and answers of a caller that has gone. Writes on
// their way still take effect.
void store_drop_caller(key_value_store& store, store_caller caller);

// Ends a lease before its time, as if its holder had paused.
void store_expire_lease(
    key_value_store& store, std::uint64_t lease, time_point now);

// Ends all leases.
void store_expire_all_leases(key_value_store& store, time_point now);

// Calls of all kinds since the start.
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
