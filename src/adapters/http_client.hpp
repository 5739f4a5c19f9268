// An asynchronous HTTP/1.1 client with a bounded pool of keep-alive
// connections to one endpoint. One pool belongs to one thread.
#pragma once

#include "adapters/async_semaphore.hpp"
#include "core/base/time.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

struct http_header
{
    std::string name;
    std::string value;
};

struct http_call
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<http_header> headers;
    std::string body;
    duration timeout = 2s;
};

// The result of a call.
enum class http_call_status : std::uint8_t
{
    // A complete reply arrived.
    answered,
    // No connection was free or could be made in time; nothing was sent.
    not_sent,
    // The reply was truncated, or the connection closed before one arrived.
    broken,
    timed_out
};

struct http_result
{
    http_call_status status = http_call_status::not_sent;
    unsigned http_status = 0;
    std::vector<http_header> headers;
    // At most `max_kept_body_bytes` bytes of the body.
    std::string body;
    std::uint64_t body_bytes = 0;
    // The XXH3 hash of the whole body.
    std::uint64_t body_hash = 0;
};

constexpr std::size_t max_kept_body_bytes = 4 * 1024 * 1024;

struct http_connection;

struct http_pool
{
    http_pool(
        boost::asio::any_io_executor on, boost::asio::ip::tcp::endpoint to,
        std::size_t max_connections);
    ~http_pool();
    http_pool(const http_pool&) = delete;
    http_pool& operator=(const http_pool&) = delete;

    boost::asio::any_io_executor executor;
    boost::asio::ip::tcp::endpoint endpoint;
    async_semaphore permits;
    // Most recently used last.
    std::vector<std::unique_ptr<http_connection>> idle;
};

// Sends one request and reads its reply. Never sends it twice.
[[nodiscard]] boost::asio::awaitable<http_result>
http_send(http_pool& pool, http_call call);

// Closes the idle connections, so that the next request opens a new one.
void close_idle_connections(http_pool& pool);

// Formats a checksum as it is sent in headers: 16 hexadecimal digits.
[[nodiscard]] std::string checksum_text(std::uint64_t hash);

// The value of the first header with this name in any case, or "".
[[nodiscard]] std::string_view
header_value(const std::vector<http_header>& headers, std::string_view name);

} // namespace cyclamenhold
