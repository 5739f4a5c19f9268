// JSON bodies of the platform's HTTP interface, used at both ends: one
// `POST /v1/kv/<operation>` for each call.
#pragma once

#include "ports/platform.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace cyclamenhold
{

// "/v1/kv/compare-and-swap".
[[nodiscard]] std::string platform_target(platform_operation operation);

[[nodiscard]] std::string encode_platform_call(const platform_call& call);

// Parses a call; InvalidArgument names every member that is wrong.
[[nodiscard]] absl::StatusOr<platform_call>
decode_platform_call(std::string_view target, std::string_view body);

[[nodiscard]] std::string encode_platform_reply(const platform_reply& reply);

// The client and call_id are not on the wire; the caller fills them in.
[[nodiscard]] absl::StatusOr<platform_reply>
decode_platform_reply(std::string_view body);

// The HTTP status that goes with a reply.
[[nodiscard]] unsigned http_status_of(platform_status status);

} // namespace cyclamenhold
