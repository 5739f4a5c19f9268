#include "adapters/crash_detector.hpp"

#include "adapters/clock.hpp"

#include <algorithm>
#include <memory>

namespace cyclamenhold
{
namespace
{

namespace asio = boost::asio;

// Called with the detector's mutex held.
void add_recent(crash_detector& detector, std::uint64_t digest, time_point now)
{
    std::erase_if(
        detector.recent,
        [now](const ended_request& request)
        {
            return now - request.at > crash_window;
        });
    detector.recent.push_back({digest, now});
}

// Returns each digest recorded within crash_window once, and clears the
// records.
std::vector<std::uint64_t>
take_recent_digests(crash_detector& detector, time_point now)
{
    std::vector<std::uint64_t> digests;
    for (const auto& [digest, at] : detector.recent)
    {
        if (now - at <= crash_window &&
            std::find(digests.begin(), digests.end(), digest) == digests.end())
        {
            digests.push_back(digest);
        }
    }
    detector.recent.clear();
    return digests;
}

// True when the upstream's port refuses a connection.
asio::awaitable<bool> is_refusing_connections(asio::ip::tcp::endpoint upstream)
{
    const auto executor = co_await asio::this_coro::executor;
    auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    asio::steady_timer limit(executor, crash_probe_timeout);
    limit.async_wait(
        [socket](const boost::system::error_code& error)
        {
            boost::system::error_code ignored;
            if (!error)
            {
                socket->close(ignored);
            }
        });
    const auto [error] = co_await socket->async_connect(
        upstream, asio::as_tuple(asio::use_awaitable));
    co_return error == asio::error::connection_refused;
}

asio::awaitable<void> probe(
    crash_detector* detector, asio::ip::tcp::endpoint upstream,
    std::function<void(const std::vector<std::uint64_t>&)> on_crash)
{
    const bool refused = co_await is_refusing_connections(upstream);
    std::vector<std::uint64_t> digests;
    {
        const std::scoped_lock lock(detector->mutex);
        detector->probing = false;
        if (refused)
        {
            digests = take_recent_digests(*detector, now());
        }
    }
    if (refused)
    {
        on_crash(digests);
    }
}

} // namespace

void record_left_request(
    crash_detector& detector, std::uint64_t digest, time_point now)
{
    const std::scoped_lock lock(detector.mutex);
    add_recent(detector, digest, now);
}

void record_broken_request(
    crash_detector& detector, const asio::any_io_executor& executor,
    const asio::ip::tcp::endpoint& upstream,
    std::optional<std::uint64_t> digest, time_point now,
    std::function<void(const std::vector<std::uint64_t>&)> on_crash)
{
    {
        const std::scoped_lock lock(detector.mutex);
        if (digest)
        {
            add_recent(detector, *digest, now);
        }
        if (detector.probing)
        {
            return;
        }
        detector.probing = true;
    }
    asio::co_spawn(
        executor, probe(&detector, upstream, std::move(on_crash)),
        asio::detached);
}

} // namespace cyclamenhold
