// Resumes calls that wait for the control thread to grant a token or to answer
// a claim request. Thread-safe.
#pragma once

#include "core/claims/claim.hpp"

#include <boost/asio.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace cyclamenhold
{

namespace asio = boost::asio;

struct call_wakeup
{
    // For a wait for a token: whether the token was granted.
    bool admitted = false;
    // For a claim request.
    claim_answer answer;
};

using wakeup_channel = asio::experimental::concurrent_channel<void(
    boost::system::error_code, call_wakeup)>;

struct call_wakeups
{
    std::mutex mutex;
    std::unordered_map<std::uint64_t, std::shared_ptr<wakeup_channel>> waiting;
    // Wakeups that arrived before their call began to wait.
    std::unordered_map<std::uint64_t, call_wakeup> early;
};

// Delivers a wakeup to a call, now or when it begins to wait.
void wake_call(
    call_wakeups& wakeups, std::uint64_t call, const call_wakeup& wakeup);

// Returns the call's channel, which already holds a wakeup that arrived early.
[[nodiscard]] std::shared_ptr<wakeup_channel> begin_wait(
    call_wakeups& wakeups, std::uint64_t call,
    const asio::any_io_executor& executor);

// Ends the wait of a call and drops a wakeup that was not received.
void end_wait(call_wakeups& wakeups, std::uint64_t call);

} // namespace cyclamenhold
