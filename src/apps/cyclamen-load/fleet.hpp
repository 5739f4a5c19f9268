// The running processes that a load is sent to.
#pragma once

#include "core/base/findings.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

struct fleet_upstream
{
    std::string service;
    std::string data_centre;
    boost::asio::ip::tcp::endpoint control;
};

// The endpoints to which calls of paths with this prefix are sent.
struct target_group
{
    std::string path_prefix;
    std::vector<boost::asio::ip::tcp::endpoint> targets;
};

struct fleet
{
    // The first group whose prefix matches a path is used.
    std::vector<target_group> groups;
    // The key of each workspace, by the workspace's name.
    std::map<std::string, std::string> keys;
    std::vector<fleet_upstream> upstreams;
    std::optional<boost::asio::ip::tcp::endpoint> platform;
};

// Parses the description of a fleet. Each address that is not a loopback
// address is a finding.
[[nodiscard]] fleet parse_fleet(std::string_view text, findings& found);

// Parses a loopback address with a port. Adds a finding at `place` and returns
// nullopt for any other text or address.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint>
parse_loopback_endpoint(
    const std::string& text, const std::string& place, findings& found);

} // namespace cyclamenhold
