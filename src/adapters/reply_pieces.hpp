// Collects the pieces of a reply before they are written to the caller.
#pragma once

#include "adapters/exchange.hpp"

namespace cyclamenhold
{

// The most that is held of a long reply, so that one that is truncated does not
// end a connection on which further requests run.
constexpr std::size_t max_held_reply_bytes = 1024 * 1024;

// Reports that this many bytes of the reply need no more space here.
void report_consumed_reply(const exchange& work, std::size_t bytes);

// Collects into `first` the pieces in which a peer link delivers a reply of at
// most max_chunk_bytes, so that it is written to the caller at once and a
// truncated one can still be retried. A reply without a body is complete only
// with its end. Does nothing for a body of a greater or unknown length. False
// when the reply was truncated.
[[nodiscard]] asio::awaitable<bool>
gather_small(exchange_ptr work, reply_event& first);

// Collects a long reply into `first` and reports its bytes as consumed, until
// it is whole or max_held_reply_bytes are held. False when it was truncated or
// did not arrive before the deadline.
[[nodiscard]] asio::awaitable<bool>
hold_reply(exchange_ptr work, reply_event& first);

} // namespace cyclamenhold
