// Where a socket is bound or connected.
#pragma once

#include "core/base/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhold
{

// An IPv4 address in host byte order and a port; port 0 stands for any free
// one where a socket is bound.
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

// The host's id; host_id::none while the port is still to be chosen.
[[nodiscard]] host_id host_id_of(const ip_endpoint& endpoint);

} // namespace cyclamenhold
