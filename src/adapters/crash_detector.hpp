// Detects a crash of the local upstream from broken connections, sooner than
// from missing announcements, and reports the requests that were in flight.
#pragma once

#include "core/base/time.hpp"

#include <boost/asio.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace cyclamenhold
{

// Requests whose connections broke, or that were left without a reply, within
// 1 s before a crash is detected are considered to have been in flight when it
// happened.
constexpr auto crash_window = std::chrono::milliseconds(1'000);
constexpr auto crash_probe_timeout = std::chrono::milliseconds(300);

struct ended_request
{
    std::uint64_t digest = 0;
    time_point at{};
};

struct crash_detector
{
    std::mutex mutex;
    // Guarded by mutex, as is `probing`.
    std::vector<ended_request> recent;
    bool probing = false;
};

// Records that a request which had reached the upstream was left without a
// reply: its caller left, or its time ended. The upstream may still be at work
// on it and crash.
void record_left_request(
    crash_detector& detector, std::uint64_t digest, time_point now);

// Records that a connection to the upstream broke before the reply was
// complete, or could not be made; `digest` is that of the request, if it had
// reached the upstream. Probes the upstream's port unless a probe is in
// progress. If the port refuses the connection, calls `on_crash` with the
// digests of all requests that broke or were left within crash_window.
void record_broken_request(
    crash_detector& detector, const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& upstream,
    std::optional<std::uint64_t> digest, time_point now,
    std::function<void(const std::vector<std::uint64_t>&)> on_crash);

} // namespace cyclamenhold
