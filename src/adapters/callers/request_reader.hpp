// Reads requests from a caller's connection, within the limits of the node.
#pragma once

#include "adapters/callers/caller_connection.hpp"
#include "core/request/call.hpp"

#include <optional>

namespace cyclamenhold
{

// Reads the next request's head. False when the connection ends: the caller
// closed it, was too slow, or sent malformed HTTP, for which a refusal is
// written first.
[[nodiscard]] asio::awaitable<bool> read_head(caller_ptr caller);

// Reads the body into the prefix, at most max_chunk_bytes of it. False as for
// read_head.
[[nodiscard]] asio::awaitable<bool> read_prefix(caller_ptr caller);

// Converts a parsed request to a call request; nullopt when a field is
// malformed.
[[nodiscard]] std::optional<call_request>
request_of(const caller_request& caller);

void record_bad_input(caller_request& caller, std::string detail);

} // namespace cyclamenhold
