// Requests by which the local upstream announces its state to its node.
#pragma once

#include "adapters/caller_session.hpp"
#include "core/base/findings.hpp"

#include <string_view>
#include <variant>

namespace cyclamenhold
{

// Parses the body of POST /v1/upstream/announce:
// {"service","endpoint":"127.0.0.1:PORT","slots","connections","warm_up_ms"}.
[[nodiscard]] std::variant<upstream_announcement, findings>
parse_announcement(std::string_view text);

// True for a target that belongs to the node and not to a route.
[[nodiscard]] bool is_upstream_request(std::string_view target);

// Answers a request on the upstream's port in the protocol profile's encoding.
[[nodiscard]] asio::awaitable<void>
serve_upstream_message(caller_ptr caller, upstream_port* port);

// Answers a request for which is_upstream_request is true; its body is the
// caller's prefix.
[[nodiscard]] asio::awaitable<void>
serve_upstream_request(caller_ptr caller, upstream_port* port);

} // namespace cyclamenhold
