// Notices the death of the local upstream from what its requests see, sooner
// than its silence would show it, and names the requests that were in flight.
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

// Requests whose connections broke so shortly before a death were in flight
// when it came.
constexpr auto crash_window = std::chrono::milliseconds(1'000);
constexpr auto crash_probe_timeout = std::chrono::milliseconds(300);

struct broken_request
{
    std::uint64_t digest = 0;
    time_point at{};
};

struct crash_detector
{
    std::mutex mutex;
    // Guarded by mutex, as is `probing`.
    std::vector<broken_request> recent;
    bool probing = false;
};

// A connection to the upstream broke before a reply was whole, or could not be
// made; `digest` is of the request that had reached the upstream. Probes the
// upstream unless a probe is under way; `on_crash` gets the digests of all
// requests that broke within crash_window when it accepts no connection.
void record_broken_request(
    crash_detector& detector, const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& upstream,
    std::optional<std::uint64_t> digest, time_point now,
    std::function<void(const std::vector<std::uint64_t>&)> on_crash);

} // namespace cyclamenhold
