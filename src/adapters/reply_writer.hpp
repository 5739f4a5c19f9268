// Answers to callers: whole replies as they stream in, refusals, and small
// answers of the node itself.
#pragma once

#include "adapters/call_driver.hpp"

#include <boost/json/value.hpp>

#include <string>

namespace cyclamenhold
{

// What became of a reply on its way to the caller.
struct delivered_reply
{
    // The caller got all of it.
    bool whole = false;
    std::uint16_t status = 0;
    std::string content_type;
    // The body, while it is at most max_stored_reply_bytes.
    std::string body;
    bool is_body_stored = true;
};

// Streams the reply of `work`, whose first event is `first`, to the caller. A
// reply that is cut closes the connection before its end.
// Small replies that a peer link delivers in pieces are put together, so that
// they go to the caller in one write, and one that is cut can still be tried
// again. False when it was cut.
[[nodiscard]] asio::awaitable<bool>
gather_small(exchange_ptr work, reply_event& first);

[[nodiscard]] asio::awaitable<delivered_reply> deliver_reply(
    caller_ptr caller, exchange_ptr work, reply_event first, trace_id trace);

[[nodiscard]] asio::awaitable<void> write_refusal(
    caller_ptr caller, refusal reason, outcome result, duration retry_after,
    trace_id trace);

// The kept reply of an earlier run of the same request.
[[nodiscard]] asio::awaitable<void>
write_stored(caller_ptr caller, stored_reply reply, trace_id trace);

[[nodiscard]] asio::awaitable<void>
write_json(caller_ptr caller, unsigned status, boost::json::value body);

} // namespace cyclamenhold
