// The control port of a stand-in upstream: tests read its request log and
// counters there and inject faults.
#pragma once

#include "upstream_state.hpp"

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace cyclamenhold
{

// Serves `GET /v1/ran`, `GET /v1/received`, `GET /v1/counts` and
// `PUT /v1/faults`. Returns the bound endpoint.
[[nodiscard]] absl::StatusOr<boost::asio::ip::tcp::endpoint>
start_control_port(const std::shared_ptr<upstream_state>& upstream);

} // namespace cyclamenhold
