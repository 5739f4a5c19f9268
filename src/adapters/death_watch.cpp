#include "adapters/death_watch.hpp"

#include "adapters/clock.hpp"

#include <algorithm>
#include <memory>

namespace cyclamenhold
{
namespace
{

namespace asio = boost::asio;

// The digests that count, each once; forgets them.
std::vector<std::uint64_t> take_recent(death_watch& watch, time_point now)
{
    std::vector<std::uint64_t> digests;
    for (const auto& [digest, at] : watch.recent)
    {
        if (now - at <= death_window &&
            std::find(digests.begin(), digests.end(), digest) == digests.end())
        {
            digests.push_back(digest);
        }
    }
    watch.recent.clear();
    return digests;
}

// True when the upstream's port refuses a connection.
asio::awaitable<bool> is_dead(asio::ip::tcp::endpoint upstream)
{
    const auto executor = co_await asio::this_coro::executor;
    auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    asio::steady_timer limit(executor, death_probe_timeout);
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
    death_watch* watch, asio::ip::tcp::endpoint upstream,
    std::function<void(const std::vector<std::uint64_t>&)> on_death)
{
    const bool dead = co_await is_dead(upstream);
    std::vector<std::uint64_t> digests;
    {
        const std::scoped_lock lock(watch->mutex);
        watch->probing = false;
        if (dead)
        {
            digests = take_recent(*watch, now());
        }
    }
    if (dead)
    {
        on_death(digests);
    }
}

} // namespace

void note_broken_request(
    death_watch& watch, const asio::any_io_executor& executor,
    const asio::ip::tcp::endpoint& upstream,
    std::optional<std::uint64_t> digest, time_point now,
    std::function<void(const std::vector<std::uint64_t>&)> on_death)
{
    {
        const std::scoped_lock lock(watch.mutex);
        std::erase_if(
            watch.recent,
            [now](const broken_request& request)
            {
                return now - request.at > death_window;
            });
        if (digest)
        {
            watch.recent.push_back({*digest, now});
        }
        if (watch.probing)
        {
            return;
        }
        watch.probing = true;
    }
    asio::co_spawn(
        executor, probe(&watch, upstream, std::move(on_death)), asio::detached);
}

} // namespace cyclamenhold
