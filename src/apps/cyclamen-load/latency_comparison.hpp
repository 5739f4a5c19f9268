// Measures the latency that a node adds to a call: one run sends the same calls
// alternately to an upstream directly and through the node.
#pragma once

#include "core/base/time.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenhold
{

struct comparison_settings
{
    boost::asio::ip::tcp::endpoint direct;
    boost::asio::ip::tcp::endpoint through;
    std::string target = "/";
    // The key sent with the calls through the node; empty for no key.
    std::string key;
    std::uint64_t body_bytes = 200;
    // Calls per second, half of them on each path.
    double rate = 1'000.0;
    double duration_s = 10.0;
    double warm_up_s = 2.0;
    std::uint64_t seed = 1;
};

// The result of one path. `calls` counts those answered with status 200.
struct path_figures
{
    std::uint64_t calls = 0;
    std::uint64_t failed = 0;
    double p50_ms = 0.0;
    double p99_ms = 0.0;
};

struct comparison_figures
{
    path_figures direct;
    path_figures through;
};

[[nodiscard]] comparison_figures
compare_latency(const comparison_settings& settings);

[[nodiscard]] std::string
to_json(const comparison_settings& settings, const comparison_figures& figures);

} // namespace cyclamenhold
