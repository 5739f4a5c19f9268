#include "upstream_settings.hpp"

#include "adapters/json_server.hpp"

namespace cyclamenhold
{

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty())
    {
        const auto end = text.find(separator);
        parts.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos)
        {
            break;
        }
        text.remove_prefix(end + 1);
    }
    return parts;
}

std::vector<direct_service>
parse_direct_services(std::string_view text, findings& found)
{
    std::vector<direct_service> services;
    for (const std::string& part : split(text, ';'))
    {
        const auto equals = part.find('=');
        if (equals == std::string::npos)
        {
            add_finding(found, "--direct", part + ": has no \"=\"");
            continue;
        }
        direct_service service;
        service.path_prefix = part.substr(0, equals);
        for (const std::string& address : split(part.substr(equals + 1), ','))
        {
            const auto endpoint = parse_endpoint(address);
            if (!endpoint.ok())
            {
                add_finding(
                    found, "--direct",
                    std::string(endpoint.status().message()));
                continue;
            }
            service.endpoints.push_back(*endpoint);
        }
        services.push_back(std::move(service));
    }
    return services;
}

} // namespace cyclamenhold
