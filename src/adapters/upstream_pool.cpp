#include "adapters/upstream_pool.hpp"

#include <algorithm>

#include <sys/socket.h>

namespace cyclamenhold
{
namespace
{

// False when anything can be read from an idle connection: it has been closed,
// or has received bytes that belong to no request.
bool is_reusable(upstream_connection& connection)
{
    char byte = 0;
    const auto handle = connection.stream.socket().native_handle();
    const auto count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool has_refused(
    const upstream_connection& connection, std::string_view request_id)
{
    return std::ranges::find(connection.refused_ids, request_id) !=
           connection.refused_ids.end();
}

// Takes the newest idle connection of this thread, or else of any thread. A
// request that stays on its thread saves two thread wake-ups.
upstream_connection_ptr
take_idle(upstream_pool& pool, const asio::any_io_executor& executor)
{
    const auto same_thread = std::find_if(
        pool.idle.rbegin(), pool.idle.rend(),
        [&](const upstream_connection_ptr& connection)
        {
            return connection->stream.get_executor() == executor;
        });
    const auto selected = same_thread == pool.idle.rend()
                              ? std::prev(pool.idle.end())
                              : std::prev(same_thread.base());
    auto connection = *selected;
    pool.idle.erase(selected);
    return connection;
}

} // namespace

bool set_address(upstream_pool& pool, const upstream_address& address)
{
    const std::scoped_lock lock(pool.mutex);
    const auto& [endpoint, id, incarnation, service] = address;
    if (pool.endpoint == endpoint && pool.upstream_id == id &&
        pool.incarnation == incarnation && pool.service == service)
    {
        return false;
    }
    pool.endpoint = endpoint;
    pool.upstream_id = id;
    pool.incarnation = incarnation;
    pool.service = service;
    ++pool.generation;
    pool.idle.clear();
    return true;
}

upstream_connection_ptr take_connection(
    upstream_pool& pool, const asio::any_io_executor& executor,
    std::string_view request_id)
{
    const std::scoped_lock lock(pool.mutex);
    while (!pool.idle.empty())
    {
        auto connection = take_idle(pool, executor);
        if (!is_reusable(*connection))
        {
            continue;
        }
        if (!has_refused(*connection, request_id))
        {
            return connection;
        }
        pool.idle.push_back(std::move(connection));
        break;
    }
    auto connection = std::make_shared<upstream_connection>(executor);
    connection->generation = pool.generation;
    return connection;
}

std::optional<std::uint64_t>
incarnation_of(upstream_pool& pool, const upstream_connection& connection)
{
    const std::scoped_lock lock(pool.mutex);
    return connection.generation == pool.generation
               ? std::optional(pool.incarnation)
               : std::nullopt;
}

void return_connection(
    upstream_pool& pool, const upstream_connection_ptr& connection)
{
    const std::scoped_lock lock(pool.mutex);
    if (connection->generation == pool.generation)
    {
        connection->used = true;
        connection->stream.expires_never();
        pool.idle.push_back(connection);
    }
}

} // namespace cyclamenhold
