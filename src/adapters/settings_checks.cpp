#include "adapters/settings_checks.hpp"

#include "adapters/settings_table.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace cyclamenhold
{
namespace
{

constexpr std::uint32_t loopback_network = 127;
constexpr unsigned network_shift = 24;

void check_presence(settings_result& result, const settings_pointers& given)
{
    for (const auto& entry : settings_table())
    {
        if (entry.presence == setting_presence::required &&
            !given.contains(entry.place))
        {
            add_finding(result.found, std::string(entry.place), "is missing");
        }
    }
}

// Exactly one of the value itself and its file must be present.
void check_secret(
    const std::string& place, settings_result& result,
    const settings_pointers& given)
{
    const bool direct = given.contains(place);
    const bool file = given.contains(place + "_file");
    if (direct && file)
    {
        add_finding(
            result.found, place,
            "must not be set together with " + place + "_file");
    }
    if (!direct && !file)
    {
        add_finding(result.found, place + "_file", "is missing");
    }
}

bool is_loopback(const ip_endpoint& endpoint)
{
    return endpoint.address >> network_shift == loopback_network;
}

void check_listen(settings_result& result, const settings_pointers& given)
{
    auto& [settings, found] = result;
    const auto& listen = settings.listen;
    if (given.contains("/listen/upstream") &&
        listen.upstream != ip_endpoint{} &&
        settings.interface == interface_kind::cyclamen &&
        !is_loopback(listen.upstream))
    {
        add_finding(found, "/listen/upstream", "must be a loopback address");
    }
    struct placed_endpoint
    {
        std::string_view place;
        ip_endpoint endpoint;
    };
    const std::array<placed_endpoint, 4> endpoints{
        {{"/listen/callers", listen.callers},
         {"/listen/upstream", listen.upstream},
         {"/listen/peers", listen.peers},
         {"/listen/operators", listen.operators}}};
    for (std::size_t index = 1; index < endpoints.size(); ++index)
    {
        const auto& [place, endpoint] = endpoints[index];
        const auto earlier = std::find_if(
            endpoints.begin(), endpoints.begin() + index,
            [&endpoint = endpoint](const placed_endpoint& other)
            {
                return other.endpoint == endpoint;
            });
        if (endpoint.port != 0 && earlier != endpoints.begin() + index)
        {
            add_finding(
                found, std::string(place),
                "is the same as " + std::string(earlier->place));
        }
    }
}

void check_advertise(settings_result& result, const settings_pointers& given)
{
    auto& [settings, found] = result;
    if (settings.advertise)
    {
        if (settings.advertise->port == 0 || settings.advertise->address == 0)
        {
            add_finding(
                found, "/advertise",
                "must be an address and a port that other nodes can reach");
        }
        return;
    }
    if (given.contains("/listen/peers") && settings.listen.peers.address == 0)
    {
        add_finding(
            found, "/advertise",
            "is missing, but required because /listen/peers is 0.0.0.0");
    }
}

void check_membership(settings_result& result)
{
    auto& [settings, found] = result;
    if (settings.membership.probe_timeout > settings.membership.probe_interval)
    {
        add_finding(
            found, "/membership/probe_timeout_ms",
            "must not be longer than /membership/probe_interval_ms");
    }
}

void check_platform(settings_result& result)
{
    const auto& platform = result.settings.platform;
    if (platform.address != 0 && platform.port == 0)
    {
        add_finding(result.found, "/platform", "must have a port");
    }
}

void check_regions(settings_result& result)
{
    const auto& settings = result.settings;
    if (!settings.data_centre_regions.empty() &&
        settings.data_centre_regions.size() != settings.data_centres.size())
    {
        add_finding(
            result.found, "/data_centre_regions",
            "must have one region for each of /data_centres");
    }
}

} // namespace

void check_settings(settings_result& result, const settings_pointers& given)
{
    check_presence(result, given);
    check_secret("/fleet_secret", result, given);
    check_secret("/operator_credential", result, given);
    check_listen(result, given);
    check_advertise(result, given);
    check_membership(result);
    check_platform(result);
    check_regions(result);
}

} // namespace cyclamenhold
