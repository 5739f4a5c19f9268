// The address and port to which a socket is bound or connected.
#pragma once

#include "core/base/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhold
{

// An IPv4 address in host byte order and a port. A socket bound to port 0 gets
// any free port.
struct ip_endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    bool operator==(const ip_endpoint&) const = default;
};

// Parses "10.0.0.1:7400"; the port may be 0.
[[nodiscard]] std::optional<ip_endpoint>
parse_ip_endpoint(std::string_view text);
[[nodiscard]] std::string to_string(const ip_endpoint& endpoint);

// The host_id of the endpoint, or host_id::none if its port is 0.
[[nodiscard]] host_id host_id_of(const ip_endpoint& endpoint);

} // namespace cyclamenhold
