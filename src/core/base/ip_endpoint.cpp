#include "core/base/ip_endpoint.hpp"

namespace cyclamenhold
{

std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text)
{
    constexpr std::string_view any_port = ":0";
    if (text.ends_with(any_port))
    {
        text.remove_suffix(any_port.size());
        const auto host = parse_host_id(std::string(text) + ":1");
        if (!host)
        {
            return std::nullopt;
        }
        return ip_endpoint{
            static_cast<std::uint32_t>(static_cast<std::uint64_t>(*host) >> 16),
            0};
    }
    const auto host = parse_host_id(text);
    if (!host)
    {
        return std::nullopt;
    }
    const auto value = static_cast<std::uint64_t>(*host);
    return ip_endpoint{
        static_cast<std::uint32_t>(value >> 16),
        static_cast<std::uint16_t>(value & 0xffff)};
}

std::string to_string(const ip_endpoint& endpoint)
{
    return to_string(make_host_id(endpoint.address, endpoint.port));
}

host_id host_id_of(const ip_endpoint& endpoint)
{
    if (endpoint.port == 0)
    {
        return host_id::none;
    }
    return make_host_id(endpoint.address, endpoint.port);
}

} // namespace cyclamenhold
