// Which header fields pass through a node, and which it adds.
#pragma once

#include "ports/protocol_profile.hpp"
#include "wire/frame_codec.hpp"

#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace cyclamenhold
{

inline constexpr std::string_view idempotency_field = "Idempotency-Key";

// The fields of a caller's request that travel to the upstream: no credential,
// no hop-by-hop field, none of this system's own, and none whose value holds
// `key`, in whatever field the caller put it. Fields that only the system may
// set are left out too.
[[nodiscard]] header_fields forwarded_fields(
    const boost::beast::http::fields& fields, const header_names& names,
    std::string_view key);

// The value of the field with this name; empty without one or without a name.
[[nodiscard]] std::string_view
field_value(const boost::beast::http::fields& fields, const std::string& name);

// The value of a kept field with this name, in any case.
[[nodiscard]] std::string_view
field_value(const header_fields& fields, std::string_view name);

// The fields of an upstream's reply that travel to the caller.
[[nodiscard]] header_fields
returned_fields(const boost::beast::http::fields& fields);

// The caller's key in "Authorization: Bearer KEY"; empty without one.
[[nodiscard]] std::string_view
bearer_of(const boost::beast::http::fields& fields);

} // namespace cyclamenhold
