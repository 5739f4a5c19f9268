#include "adapters/http_client.hpp"

#include "adapters/clock.hpp"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <cstdio>
#include <optional>
#include <utility>

#include <xxhash.h>

namespace cyclamenhold
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

// The most that is kept of a reply which its parser can't use yet: a head, or a
// line that begins a chunk.
constexpr std::size_t max_unparsed_bytes = 128 * 1024;

struct http_connection
{
    explicit http_connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
};

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_chunk_size = 64 * 1024;

using connection_pointer = std::unique_ptr<http_connection>;
using body_parser = http::response_parser<http::buffer_body>;

// False when something can be read from an idle connection: the server has
// closed it.
bool is_usable(http_connection& connection)
{
    auto& socket = connection.stream.socket();
    beast::error_code error;
    socket.non_blocking(true, error);
    std::array<char, 1> byte{};
    socket.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

connection_pointer take_idle(http_pool& pool)
{
    while (!pool.idle.empty())
    {
        auto connection = std::move(pool.idle.back());
        pool.idle.pop_back();
        if (is_usable(*connection))
        {
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<connection_pointer>
connect(http_pool& pool, time_point deadline)
{
    auto connection = std::make_unique<http_connection>(pool.executor);
    connection->stream.expires_at(deadline);
    const auto [error] =
        co_await connection->stream.async_connect(pool.endpoint, as_result);
    if (error)
    {
        co_return nullptr;
    }
    beast::error_code ignored;
    connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return connection;
}

http::request<http::string_body>
make_request(const http_pool& pool, http_call& call)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.target);
    request.set(
        http::field::host, pool.endpoint.address().to_string() + ":" +
                               std::to_string(pool.endpoint.port()));
    for (const auto& [name, value] : call.headers)
    {
        request.set(name, value);
    }
    request.body() = std::move(call.body);
    request.prepare_payload();
    return request;
}

void copy_head(http_result& result, const body_parser& parser)
{
    const auto& message = parser.get();
    result.http_status = message.result_int();
    for (const auto& field : message)
    {
        result.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
}

void append_body(
    http_result& result, XXH3_state_t* hash, const char* data, std::size_t size)
{
    XXH3_64bits_update(hash, data, size);
    result.body_bytes += size;
    const std::size_t room = max_kept_body_bytes - result.body.size();
    result.body.append(data, std::min(size, room));
}

struct hash_deleter
{
    void operator()(XXH3_state_t* state) const
    {
        XXH3_freeState(state);
    }
};

// Reads head and body; the error is empty when the reply is complete.
asio::awaitable<beast::error_code> read_reply(
    http_connection& connection, body_parser& parser, http_result& result)
{
    parser.body_limit(boost::none);
    auto [error, head_size] = co_await http::async_read_header(
        connection.stream, connection.buffer, parser, as_result);
    if (error)
    {
        co_return error;
    }
    copy_head(result, parser);
    std::unique_ptr<XXH3_state_t, hash_deleter> hash(XXH3_createState());
    XXH3_64bits_reset(hash.get());
    std::vector<char> chunk(
        std::min<std::uint64_t>(
            parser.content_length().value_or(read_chunk_size),
            read_chunk_size) +
        1);
    while (!parser.is_done())
    {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        const auto [read_error, size] = co_await http::async_read(
            connection.stream, connection.buffer, parser, as_result);
        if (read_error && read_error != http::error::need_buffer)
        {
            co_return read_error;
        }
        append_body(
            result, hash.get(), chunk.data(),
            chunk.size() - parser.get().body().size);
    }
    result.body_hash = XXH3_64bits_digest(hash.get());
    co_return beast::error_code();
}

asio::awaitable<http_result> exchange(
    http_pool& pool, connection_pointer connection, http_call call,
    time_point deadline)
{
    http_result result;
    result.status = http_call_status::broken;
    const auto request = make_request(pool, call);
    connection->stream.expires_at(deadline);
    const auto [write_error, written] =
        co_await http::async_write(connection->stream, request, as_result);
    body_parser parser;
    beast::error_code error = write_error;
    if (!error)
    {
        error = co_await read_reply(*connection, parser, result);
    }
    if (error)
    {
        result.status = error == beast::error::timeout
                            ? http_call_status::timed_out
                            : http_call_status::broken;
        co_return result;
    }
    result.status = http_call_status::answered;
    if (parser.get().keep_alive())
    {
        connection->stream.expires_never();
        pool.idle.push_back(std::move(connection));
    }
    co_return result;
}

} // namespace

http_pool::http_pool(
    asio::any_io_executor on, tcp::endpoint to, std::size_t max_connections)
    : executor(std::move(on)), endpoint(std::move(to))
{
    permits.available = max_connections;
}

http_pool::~http_pool() = default;

asio::awaitable<http_result> http_send(http_pool& pool, http_call call)
{
    const time_point deadline = now() + call.timeout;
    http_result result;
    if (!co_await acquire(pool.permits, deadline))
    {
        co_return result;
    }
    const semaphore_permit permit(pool.permits);
    auto connection = take_idle(pool);
    if (!connection)
    {
        connection = co_await connect(pool, deadline);
    }
    if (!connection)
    {
        co_return result;
    }
    co_return co_await exchange(
        pool, std::move(connection), std::move(call), deadline);
}

void close_idle_connections(http_pool& pool)
{
    pool.idle.clear();
}

std::string checksum_text(std::uint64_t hash)
{
    std::array<char, 17> text{};
    std::snprintf(
        text.data(), text.size(), "%016llx",
        static_cast<unsigned long long>(hash));
    return text.data();
}

std::string_view
header_value(const std::vector<http_header>& headers, std::string_view name)
{
    for (const auto& header : headers)
    {
        if (beast::iequals(header.name, name))
        {
            return header.value;
        }
    }
    return {};
}

} // namespace cyclamenhold
