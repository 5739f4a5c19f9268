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

// Creates a server. Its store is kept while no connection is open.
[[nodiscard]] std::shared_ptr<platform_server>
make_platform_server(const boost::asio::any_io_executor& executor);

// Serves `POST /v1/kv/<operation>`, `GET /v1/calls` and `GET` and
// `PUT /v1/faults`. Returns the bound endpoint.
[[nodiscard]] absl::StatusOr<boost::asio::ip::tcp::endpoint>
start_platform_server(
    const std::shared_ptr<platform_server>& server,
    const boost::asio::ip::tcp::endpoint& endpoint);

// The store, for tests that run in the same process.
[[nodiscard]] key_value_store& platform_store(platform_server& server);

} // namespace cyclamenhold
