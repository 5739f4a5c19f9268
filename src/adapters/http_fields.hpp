// Selects the header fields of requests and replies that a node forwards.
#pragma once

#include "ports/protocol_profile.hpp"
#include "wire/frame_codec.hpp"

#include <boost/beast/http/fields.hpp>

#include <string_view>

namespace cyclamenhold
{

inline constexpr std::string_view idempotency_field = "Idempotency-Key";

// The fields of a caller's request that are forwarded to the upstream. Excluded
// are credentials, hop-by-hop fields, fields of this system, fields that only a
// node sets, and any field whose value contains `key`.
[[nodiscard]] header_fields forwarded_fields(
    const boost::beast::http::fields& fields, const header_names& names,
    std::string_view key);

// The value of the field with this name; empty without one or without a name.
[[nodiscard]] std::string_view
field_value(const boost::beast::http::fields& fields, const std::string& name);

// The value of the field with this name, in any case; empty without one or
// without a name.
[[nodiscard]] std::string_view
field_value(const header_fields& fields, std::string_view name);

// The fields of an upstream's reply that are returned to the caller.
[[nodiscard]] header_fields
returned_fields(const boost::beast::http::fields& fields);

// The caller's key in "Authorization: Bearer KEY"; empty without one.
[[nodiscard]] std::string_view
bearer_of(const boost::beast::http::fields& fields);

// Whether the reply to a request with this method has no body, whatever its
// fields say.
[[nodiscard]] constexpr bool
is_bodyless(std::string_view method, unsigned status)
{
    return method == "HEAD" || status == 204 || status == 304;
}

// Whether a status ends a request by the rules of HTTP: interim ones are
// followed by another, and those outside of these classes have no meaning.
[[nodiscard]] constexpr bool is_final_status(unsigned status)
{
    return status >= 200 && status <= 599;
}

} // namespace cyclamenhold
