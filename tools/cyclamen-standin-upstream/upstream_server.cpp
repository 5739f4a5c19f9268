#include "upstream_server.hpp"

#include "adapters/clock.hpp"
#include "adapters/json_server.hpp"
#include "work.hpp"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include <xxhash.h>

namespace cyclamenhold
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using upstream_pointer = std::shared_ptr<upstream_state>;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t chunk_size = 64 * 1024;
constexpr auto read_timeout = 5min;

using request_parser = http::request_parser<http::buffer_body>;

struct upstream_connection
{
    std::uint64_t number = 0;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

struct hash_deleter
{
    void operator()(XXH3_state_t* state) const
    {
        XXH3_freeState(state);
    }
};

bool is_silent(
    const upstream_state& upstream, const upstream_connection& connection)
{
    return connection.number < upstream.silent_below;
}

// Never completes, so that the connection stays open without a reply.
asio::awaitable<void> wait_forever()
{
    auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, time_point::max());
    co_await timer.async_wait(as_result);
}

received_request
parse_request_head(upstream_state& upstream, const request_parser& parser)
{
    const auto& message = parser.get();
    received_request request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const auto question = target.find('?');
    request.path = target.substr(0, question);
    if (question != std::string::npos)
    {
        request.query = target.substr(question + 1);
    }
    for (const auto& field : message)
    {
        request.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    std::ostringstream head;
    head << message.base();
    append_received(upstream, head.str());
    return request;
}

asio::awaitable<beast::error_code> read_body(
    upstream_connection& connection, request_parser& parser,
    received_request& request)
{
    std::unique_ptr<XXH3_state_t, hash_deleter> hash(XXH3_createState());
    XXH3_64bits_reset(hash.get());
    std::vector<char> chunk;
    while (!parser.is_done())
    {
        chunk.resize(chunk_size);
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        connection.stream.expires_after(read_timeout);
        const auto [error, size] = co_await http::async_read(
            connection.stream, connection.buffer, parser, as_result);
        if (error && error != http::error::need_buffer)
        {
            co_return error;
        }
        const std::size_t received = chunk.size() - parser.get().body().size;
        XXH3_64bits_update(hash.get(), chunk.data(), received);
        request.body_bytes += received;
        const std::size_t unused =
            max_echoed_body_bytes - request.body_start.size();
        request.body_start.append(chunk.data(), std::min(received, unused));
    }
    request.body_hash = XXH3_64bits_digest(hash.get());
    co_return beast::error_code();
}

// Completes when the caller closes the connection.
asio::awaitable<void> wait_for_close(tcp::socket& socket)
{
    const auto [error] =
        co_await socket.async_wait(tcp::socket::wait_read, as_result);
    if (error)
    {
        co_return;
    }
    std::array<char, 1> byte{};
    beast::error_code peeked;
    socket.non_blocking(true, peeked);
    const std::size_t size = socket.receive(
        asio::buffer(byte), asio::socket_base::message_peek, peeked);
    if (size == 0 || peeked)
    {
        co_return;
    }
    // Bytes of a pipelined request: the connection is still open.
    co_await wait_forever();
}

// One chunk of the fixed pattern that large replies repeat.
const std::string& pattern_chunk()
{
    static const std::string chunk = []
    {
        std::string text(chunk_size, '\0');
        for (std::size_t place = 0; place < text.size(); ++place)
        {
            text[place] =
                static_cast<char>('a' + (place * 7 + place / 251) % 26);
        }
        return text;
    }();
    return chunk;
}

std::uint64_t pattern_hash(std::uint64_t bytes)
{
    std::unique_ptr<XXH3_state_t, hash_deleter> hash(XXH3_createState());
    XXH3_64bits_reset(hash.get());
    while (bytes > 0)
    {
        const auto part = std::min<std::uint64_t>(bytes, chunk_size);
        XXH3_64bits_update(hash.get(), pattern_chunk().data(), part);
        bytes -= part;
    }
    return XXH3_64bits_digest(hash.get());
}

template <class Message>
void set_head(Message& response, const reply_plan& plan, bool keep_alive)
{
    response.version(11);
    response.result(plan.status);
    response.keep_alive(keep_alive);
    for (const auto& [name, value] : plan.headers)
    {
        response.set(name, value);
    }
}

asio::awaitable<bool> write_whole(
    upstream_connection& connection, const reply_plan& plan, bool keep_alive)
{
    http::response<http::string_body> response;
    set_head(response, plan, keep_alive);
    response.set(
        "X-Body-Checksum",
        checksum_text(XXH3_64bits(plan.body.data(), plan.body.size())));
    response.body() = plan.body;
    response.prepare_payload();
    const auto [error, size] =
        co_await http::async_write(connection.stream, response, as_result);
    co_return !error;
}

asio::awaitable<bool> write_pattern(
    upstream_connection& connection, const reply_plan& plan, bool keep_alive)
{
    http::response<http::empty_body> response;
    set_head(response, plan, keep_alive);
    std::uint64_t left = *plan.pattern_bytes;
    response.set("X-Body-Checksum", checksum_text(pattern_hash(left)));
    response.content_length(left);
    http::response_serializer<http::empty_body> head(response);
    const auto [head_error, head_size] =
        co_await http::async_write_header(connection.stream, head, as_result);
    if (head_error)
    {
        co_return false;
    }
    while (left > 0)
    {
        const auto part = std::min<std::uint64_t>(left, chunk_size);
        connection.stream.expires_after(read_timeout);
        const auto [error, size] = co_await asio::async_write(
            connection.stream, asio::buffer(pattern_chunk().data(), part),
            as_result);
        if (error)
        {
            co_return false;
        }
        left -= part;
    }
    co_return true;
}

// Serves one request. Returns false when the connection must close.
asio::awaitable<bool>
serve_one(const upstream_pointer& upstream, upstream_connection& connection)
{
    using asio::experimental::awaitable_operators::operator||;
    request_parser parser;
    parser.body_limit(boost::none);
    connection.stream.expires_after(read_timeout);
    const auto [error, size] = co_await http::async_read_header(
        connection.stream, connection.buffer, parser, as_result);
    if (error)
    {
        co_return false;
    }
    if (is_silent(*upstream, connection))
    {
        co_await wait_forever();
    }
    received_request request = parse_request_head(*upstream, parser);
    if (const auto body_error = co_await read_body(connection, parser, request))
    {
        co_return false;
    }
    connection.stream.expires_never();
    auto ended = co_await (
        run_request(*upstream, request) ||
        wait_for_close(connection.stream.socket()));
    if (ended.index() != 0)
    {
        co_return false;
    }
    if (is_silent(*upstream, connection))
    {
        co_await wait_forever();
    }
    const reply_plan plan = std::get<0>(std::move(ended));
    if (plan.drop)
    {
        co_return false;
    }
    const bool keep_alive = parser.get().keep_alive() && !upstream->stopping;
    connection.stream.expires_after(read_timeout);
    const bool written =
        plan.pattern_bytes
            ? co_await write_pattern(connection, plan, keep_alive)
            : co_await write_whole(connection, plan, keep_alive);
    co_return written&& keep_alive;
}

asio::awaitable<void>
serve_connection(upstream_pointer upstream, tcp::socket socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    upstream_connection connection{
        upstream->next_connection++, beast::tcp_stream(std::move(socket)), {}};
    upstream->open_connections[connection.number] = [&connection]
    {
        connection.stream.close();
    };
    bool open = true;
    while (open)
    {
        open = co_await serve_one(upstream, connection);
    }
    upstream->open_connections.erase(connection.number);
    connection.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

bool is_accepting_connections(const upstream_state& upstream)
{
    return upstream.open_connections.size() < upstream.settings.connections &&
           now() >= upstream.faults.refuse_until;
}

asio::awaitable<void>
accept_connections(upstream_pointer upstream, tcp::acceptor acceptor)
{
    asio::steady_timer pause(upstream->context);
    while (true)
    {
        auto [error, socket] = co_await acceptor.async_accept(as_result);
        if (error)
        {
            pause.expires_after(10ms);
            co_await pause.async_wait(as_result);
            continue;
        }
        if (!is_accepting_connections(*upstream))
        {
            ++upstream->counts.refused_connections;
            continue;
        }
        ++upstream->counts.connections;
        asio::co_spawn(
            upstream->context, serve_connection(upstream, std::move(socket)),
            asio::detached);
    }
}

} // namespace

absl::StatusOr<tcp::endpoint>
start_upstream_server(const upstream_pointer& upstream)
{
    const tcp::endpoint& endpoint = upstream->settings.listen;
    tcp::acceptor acceptor(upstream->context);
    beast::error_code error;
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(endpoint, error);
    if (!error)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        return absl::UnavailableError(
            to_string(endpoint) + ": " + error.message());
    }
    const tcp::endpoint bound = acceptor.local_endpoint();
    asio::co_spawn(
        upstream->context, accept_connections(upstream, std::move(acceptor)),
        asio::detached);
    return bound;
}

} // namespace cyclamenhold
