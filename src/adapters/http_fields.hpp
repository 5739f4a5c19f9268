// Which header fields pass through a node, and which it adds.
#pragma once

#include "wire/frame_codec.hpp"

#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace cyclamenhold
{

inline constexpr std::string_view outcome_field = "Cyclamen-Outcome";
inline constexpr std::string_view reason_field = "Cyclamen-Reason";
inline constexpr std::string_view trace_field = "Cyclamen-Trace";
inline constexpr std::string_view call_field = "Cyclamen-Call";
inline constexpr std::string_view deadline_field = "Cyclamen-Deadline-Ms";
inline constexpr std::string_view timeout_field = "Cyclamen-Timeout-Ms";
inline constexpr std::string_view idempotency_field = "Idempotency-Key";

// The fields of a caller's request that travel to the upstream: no credential,
// no hop-by-hop field, none of this system's own, and none whose value holds
// `key`, in whatever field the caller put it.
[[nodiscard]] header_fields forwarded_fields(
    const boost::beast::http::fields& fields, std::string_view key);

// The fields of an upstream's reply that travel to the caller.
[[nodiscard]] header_fields
returned_fields(const boost::beast::http::fields& fields);

// The caller's key in "Authorization: Bearer KEY"; empty without one.
[[nodiscard]] std::string_view
bearer_of(const boost::beast::http::fields& fields);

} // namespace cyclamenhold
