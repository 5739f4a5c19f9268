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
constexpr auto death_window = std::chrono::milliseconds(1'000);
constexpr auto death_probe_timeout = std::chrono::milliseconds(300);

struct broken_request
{
    std::uint64_t digest = 0;
    time_point at{};
};

struct death_watch
{
    std::mutex mutex;
    // Guarded by mutex, as is `probing`.
    std::vector<broken_request> recent;
    bool probing = false;
};

// A connection to the upstream broke before a reply was whole, or could not be
// made; `digest` is of the request that had reached the upstream. Probes the
// upstream unless a probe is under way; `on_death` gets the digests of all
// requests that broke within death_window when it accepts no connection.
void note_broken_request(
    death_watch& watch, const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& upstream,
    std::optional<std::uint64_t> digest, time_point now,
    std::function<void(const std::vector<std::uint64_t>&)> on_death);

} // namespace cyclamenhold
