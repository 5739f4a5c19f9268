// Keep-alive connections to the local upstream, at most as many as it accepts.
// A connection stays on the thread that opened it; the pool may be used from
// any thread.
#pragma once

#include "core/base/ids.hpp"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

namespace asio = boost::asio;

// The most that is kept of a reply which its parser can't use yet: a head, or a
// line that begins a chunk. An upstream may send such bytes without end.
constexpr std::size_t max_unparsed_reply_bytes = 128 * 1024;

struct upstream_connection
{
    explicit upstream_connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{max_unparsed_reply_bytes};
    // The pool's generation at which it was opened; connections of older
    // generations are not reused.
    std::uint64_t generation = 0;
    // Has received a reply to an earlier request.
    bool had_stray_reply = false;
    // Has carried a request before.
    bool used = false;
    // The ids of requests that the upstream refused on it. A second copy of
    // such a refusal may follow at any time and would match the same request.
    std::vector<std::string> refused_ids;
};

using upstream_connection_ptr = std::shared_ptr<upstream_connection>;

// The endpoint of the upstream and the process that listens there.
struct upstream_address
{
    asio::ip::tcp::endpoint endpoint;
    std::string id;
    std::uint64_t incarnation = 0;
    service_id service = service_id::none;
    bool operator==(const upstream_address&) const = default;
};

struct upstream_pool
{
    std::mutex mutex;
    asio::ip::tcp::endpoint endpoint;
    std::string upstream_id;
    std::uint64_t incarnation = 0;
    service_id service = service_id::none;
    std::uint64_t generation = 0;
    std::vector<upstream_connection_ptr> idle;
};

// Sets the upstream's address. If it has changed, drops the idle connections
// and returns true.
bool set_address(upstream_pool& pool, const upstream_address& address);

// Takes an idle connection that is still open and on which the upstream has not
// refused this request before, or makes an unconnected one on `executor`. The
// id is empty if requests have none.
[[nodiscard]] upstream_connection_ptr take_connection(
    upstream_pool& pool, const asio::any_io_executor& executor,
    std::string_view request_id);

// The incarnation of the upstream at the other end; nullopt for a connection to
// an earlier process or address.
[[nodiscard]] std::optional<std::uint64_t>
incarnation_of(upstream_pool& pool, const upstream_connection& connection);

// Returns a connection for reuse; drops it if the address has changed since.
void return_connection(
    upstream_pool& pool, const upstream_connection_ptr& connection);

} // namespace cyclamenhold
