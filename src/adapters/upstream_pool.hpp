// Keep-alive connections to the local upstream, at most as many as it accepts.
// A connection stays on the thread that opened it; the pool may be used from
// any thread.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenhold
{

namespace asio = boost::asio;

struct upstream_connection
{
    explicit upstream_connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    // The announcement it belongs to; older ones are not used again.
    std::uint64_t generation = 0;
    // Has brought a reply to a request that was over.
    bool had_stray_reply = false;
    // Has carried a request before.
    bool used = false;
};

using upstream_connection_ptr = std::shared_ptr<upstream_connection>;

// Where the upstream listens, and which process of it.
struct upstream_address
{
    asio::ip::tcp::endpoint endpoint;
    std::string id;
    std::uint64_t incarnation = 0;
    bool operator==(const upstream_address&) const = default;
};

struct upstream_pool
{
    std::mutex mutex;
    asio::ip::tcp::endpoint endpoint;
    std::string upstream_id;
    std::uint64_t incarnation = 0;
    std::uint64_t generation = 0;
    std::vector<upstream_connection_ptr> idle;
};

// Points the pool at an upstream; connections to another one are dropped.
void set_address(upstream_pool& pool, const upstream_address& address);

// An idle connection that looks alive, or a new unconnected one on `executor`.
[[nodiscard]] upstream_connection_ptr
take_connection(upstream_pool& pool, const asio::any_io_executor& executor);

// Gives a connection back for reuse.
void return_connection(
    upstream_pool& pool, const upstream_connection_ptr& connection);

} // namespace cyclamenhold
