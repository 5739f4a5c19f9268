// The HTTP/1.1 server of a stand-in upstream.
#pragma once

#include "upstream_state.hpp"

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace cyclamenhold
{

// Listens at the settings' address. Returns the bound endpoint, or
// `kUnavailable` with the address and the system's error.
[[nodiscard]] absl::StatusOr<boost::asio::ip::tcp::endpoint>
start_upstream_server(const std::shared_ptr<upstream_state>& upstream);

} // namespace cyclamenhold
