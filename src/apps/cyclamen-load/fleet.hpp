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

// Where callers send the paths with a prefix.
struct target_group
{
    std::string path_prefix;
    std::vector<boost::asio::ip::tcp::endpoint> targets;
};

struct fleet
{
    // The first one that fits a path is used.
    std::vector<target_group> groups;
    // By workspace.
    std::map<std::string, std::string> keys;
    std::vector<fleet_upstream> upstreams;
    std::optional<boost::asio::ip::tcp::endpoint> platform;
};

// Parses the description of a fleet; any address but a loopback one is a
// finding.
[[nodiscard]] fleet parse_fleet(std::string_view text, findings& found);

// Parses an address and refuses any but a loopback one.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint>
parse_loopback_endpoint(
    const std::string& text, const std::string& place, findings& found);

} // namespace cyclamenhold
