// Identifiers. The ids of workspaces, services and data centres are hashes of
// their names, so that every process derives the same id without coordination.
// Planning rejects a configuration in which two names collide.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenhold
{

// A host of the fleet: its peer endpoint, IPv4 address << 16 | port. A
// replacement at the same address has the same host_id and a newer
// incarnation.
enum class host_id : std::uint64_t
{
    none = 0
};

enum class workspace_id : std::uint64_t
{
    none = 0
};

enum class service_id : std::uint64_t
{
    none = 0
};

enum class data_centre_id : std::uint32_t
{
    none = 0
};

enum class route_id : std::uint32_t
{
    none = 0
};

enum class region_id : std::uint32_t
{
    none = 0
};

// One run of a node process on a host. Larger is newer: the wall clock at start
// in milliseconds since the Unix epoch, raised above any older incarnation of
// which other members have a record.
using incarnation = std::uint64_t;

// Identifies one root request and all of its child calls in logs and events.
struct trace_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const trace_id&) const = default;
};

[[nodiscard]] workspace_id workspace_id_of(std::string_view name);
[[nodiscard]] service_id service_id_of(std::string_view name);
[[nodiscard]] data_centre_id data_centre_id_of(std::string_view name);
[[nodiscard]] region_id region_id_of(std::string_view name);
[[nodiscard]] route_id route_id_of(std::string_view name);

// The host_id of an IPv4 address in host byte order and a port.
[[nodiscard]] constexpr host_id
make_host_id(std::uint32_t ipv4, std::uint16_t port)
{
    return static_cast<host_id>(
        (static_cast<std::uint64_t>(ipv4) << 16) | port);
}

// Parses "10.0.0.1:7400"; nullopt unless the text is an IPv4 address and a port
// from 1 to 65535.
[[nodiscard]] std::optional<host_id> parse_host_id(std::string_view text);

// "10.0.0.1:7400".
[[nodiscard]] std::string to_string(host_id id);

// 32 hexadecimal digits.
[[nodiscard]] std::string to_string(const trace_id& id);
[[nodiscard]] std::optional<trace_id> parse_trace_id(std::string_view text);

} // namespace cyclamenhold

template <>
struct std::hash<cyclamenhold::trace_id>
{
    std::size_t operator()(const cyclamenhold::trace_id& id) const noexcept
    {
        return static_cast<std::size_t>(id.high ^ id.low);
    }
};
