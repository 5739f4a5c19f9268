// Writes replies to callers: streamed replies of upstreams, refusals, and short
// replies of the node itself.
#pragma once

#include "adapters/call_driver.hpp"

#include <boost/json/value.hpp>

#include <string>

namespace cyclamenhold
{

// The result of writing a reply to the caller.
struct delivered_reply
{
    // The whole reply was written.
    bool whole = false;
    std::uint16_t status = 0;
    std::string content_type;
    // What was written of the body; empty if longer than
    // max_stored_reply_bytes.
    std::string body;
    // False when the body is longer than max_stored_reply_bytes.
    bool is_body_stored = true;
};

// Streams the reply of `work`, whose first event is `first`, to the caller. If
// the reply is truncated, closes the caller's connection before its end.
[[nodiscard]] asio::awaitable<delivered_reply> deliver_reply(
    caller_ptr caller, exchange_ptr work, reply_event first, trace_id trace);

[[nodiscard]] asio::awaitable<void> write_refusal(
    caller_ptr caller, refusal reason, outcome result, duration retry_after,
    trace_id trace);

// Writes the stored reply of an earlier run of the same request.
[[nodiscard]] asio::awaitable<void>
write_stored(caller_ptr caller, stored_reply reply, trace_id trace);

[[nodiscard]] asio::awaitable<void>
write_json(caller_ptr caller, unsigned status, boost::json::value body);

} // namespace cyclamenhold
