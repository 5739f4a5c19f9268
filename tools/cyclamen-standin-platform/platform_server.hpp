// The HTTP interface of the stand-in platform over its key-value store.
#pragma once

#include "standin/key_value_store.hpp"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace cyclamenhold
{

struct platform_server;

// A server whose store outlives its connections.
[[nodiscard]] std::shared_ptr<platform_server>
make_platform_server(const boost::asio::any_io_executor& executor);

// Serves `POST /v1/kv/<operation>`, `GET /v1/calls` and `GET` and
// `PUT /v1/faults`; returns where it listens.
[[nodiscard]] absl::StatusOr<boost::asio::ip::tcp::endpoint>
start_platform_server(
    const std::shared_ptr<platform_server>& server,
    const boost::asio::ip::tcp::endpoint& endpoint);

// For tests in the same process.
[[nodiscard]] key_value_store& platform_store(platform_server& server);

} // namespace cyclamenhold
