// HTTP connections of the operators' port: size limits, timeouts and
// authentication.
#include "adapters/http_fields.hpp"
#include "adapters/operators_api.hpp"

#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace cyclamenhold
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t max_intent_bytes = 1024 * 1024;
constexpr auto operator_timeout = std::chrono::seconds(30);

using string_request = http::request<http::string_body>;
using string_response = http::response<http::string_body>;
using reply_promise = asio::experimental::concurrent_channel<void(
    boost::system::error_code, operator_reply)>;

// Compares hashes in constant time, so that the duration reveals nothing about
// the credential.
bool is_credential(std::string_view offered, std::string_view expected)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> left{};
    std::array<unsigned char, SHA256_DIGEST_LENGTH> right{};
    SHA256(
        reinterpret_cast<const unsigned char*>(offered.data()), offered.size(),
        left.data());
    SHA256(
        reinterpret_cast<const unsigned char*>(expected.data()),
        expected.size(), right.data());
    return !expected.empty() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

asio::awaitable<operator_reply>
answer(operators_api& api, const string_request& request)
{
    const std::string_view path(
        request.target().data(), request.target().size());
    const bool is_get = request.method() == http::verb::get;
    if (is_get && path == "/ready")
    {
        const bool ready = api.ready && api.ready();
        co_return operator_reply{ready ? 200U : 503U, "text/plain", {}};
    }
    const bool is_public = is_get && path == "/metrics" && api.has_open_metrics;
    if (!is_public && !is_credential(bearer_of(request), api.credential))
    {
        co_return operator_reply{
            401, "application/json",
            "{\"message\":\"a valid operator credential is required\"}\n"};
    }
    operator_request plain;
    plain.method = std::string(request.method_string());
    plain.target = std::string(request.target());
    plain.body = request.body();
    auto promise =
        std::make_shared<reply_promise>(api.control->io.get_executor(), 1);
    handle_operator_request(
        api, plain,
        [promise](operator_reply reply)
        {
            promise->try_send(boost::system::error_code(), std::move(reply));
        });
    auto [error, reply] =
        co_await promise->async_receive(asio::as_tuple(asio::use_awaitable));
    co_return reply;
}

asio::awaitable<void>
serve_connection(operators_api* api, asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    // Bounded: a line that begins a chunk of a body may come without end.
    constexpr std::size_t max_unparsed_bytes = 128 * 1024;
    beast::flat_buffer buffer(max_unparsed_bytes);
    bool keep_alive = true;
    while (keep_alive)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_intent_bytes);
        stream.expires_after(operator_timeout);
        const auto [error, count] = co_await http::async_read(
            stream, buffer, parser, asio::as_tuple(asio::use_awaitable));
        string_response response;
        if (error == http::error::body_limit)
        {
            response.result(http::status::payload_too_large);
            keep_alive = false;
        }
        else if (error)
        {
            break;
        }
        else
        {
            const auto request = parser.release();
            keep_alive = request.keep_alive();
            auto reply = co_await answer(*api, request);
            response.result(reply.status);
            response.set(http::field::content_type, reply.content_type);
            response.body() = std::move(reply.body);
        }
        response.keep_alive(keep_alive);
        response.prepare_payload();
        stream.expires_after(operator_timeout);
        const auto [failed, written] = co_await http::async_write(
            stream, response, asio::as_tuple(asio::use_awaitable));
        if (failed)
        {
            break;
        }
    }
    stream.close();
}

} // namespace

asio::awaitable<void>
serve_operators(operators_api& api, asio::ip::tcp::acceptor& acceptor)
{
    while (acceptor.is_open())
    {
        auto [error, socket] =
            co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted)
        {
            co_return;
        }
        if (!error)
        {
            asio::co_spawn(
                acceptor.get_executor(),
                serve_connection(&api, std::move(socket)), asio::detached);
        }
    }
}

} // namespace cyclamenhold
