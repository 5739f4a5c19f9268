// Wakes calls that wait for the control thread: for a token or for a claim.
// Thread-safe.
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
    // For a wait for a token: whether it came.
    bool admitted = false;
    // For a question about a claim.
    claim_answer answer;
};

using wakeup_channel = asio::experimental::concurrent_channel<void(
    boost::system::error_code, call_wakeup)>;

struct call_wakeups
{
    std::mutex mutex;
    std::unordered_map<std::uint64_t, std::shared_ptr<wakeup_channel>> waiting;
    // Came before the call began to wait.
    std::unordered_map<std::uint64_t, call_wakeup> early;
};

// Hands a wakeup to a call, now or when it begins to wait.
void wake_call(
    call_wakeups& wakeups, std::uint64_t call, const call_wakeup& wakeup);

// The call's channel; a wakeup that came early is already in it.
[[nodiscard]] std::shared_ptr<wakeup_channel> begin_wait(
    call_wakeups& wakeups, std::uint64_t call,
    const asio::any_io_executor& executor);

// The call no longer waits.
void end_wait(call_wakeups& wakeups, std::uint64_t call);

} // namespace cyclamenhold
