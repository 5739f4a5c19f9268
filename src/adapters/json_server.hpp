// An HTTP/1.1 server for JSON bodies, for control ports and stand-ins.
#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace cyclamenhold
{

struct json_request
{
    std::string method;
    // Path and query.
    std::string target;
    std::string body;
};

struct json_reply
{
    unsigned status = 200;
    std::string body;
    // Closes the connection without a reply.
    bool drop = false;
};

// A reply with the body {"error": message}.
[[nodiscard]] json_reply json_error(unsigned status, std::string_view message);

using json_handler =
    std::function<boost::asio::awaitable<json_reply>(json_request)>;

// Maximum size of a request body in bytes; larger ones are refused with 413.
constexpr std::size_t json_body_limit = 4 * 1024 * 1024;

// Accepts connections at `endpoint` (port 0 for any free port) until the
// executor's context stops. Returns the bound endpoint, or Unavailable if it
// cannot be bound.
[[nodiscard]] absl::StatusOr<boost::asio::ip::tcp::endpoint> start_json_server(
    const boost::asio::any_io_executor& executor,
    const boost::asio::ip::tcp::endpoint& endpoint, json_handler handler);

// Parses "127.0.0.1:8080"; InvalidArgument for other text.
[[nodiscard]] absl::StatusOr<boost::asio::ip::tcp::endpoint>
parse_endpoint(const std::string& text);

// Formats as "127.0.0.1:8080".
[[nodiscard]] std::string
to_string(const boost::asio::ip::tcp::endpoint& endpoint);

// Runs the context until it is stopped. The first SIGTERM or SIGINT calls
// `on_stop`, which must stop the context in the end; a second one stops it
// immediately.
void run_until_signal(
    boost::asio::io_context& context, std::function<void()> on_stop);

} // namespace cyclamenhold
