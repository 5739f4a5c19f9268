// The settings of a stand-in upstream, set on its command line.
#pragma once

#include "core/base/findings.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

enum class time_distribution : std::uint8_t
{
    fixed,
    exponential,
    lognormal
};

template <>
struct enum_names<time_distribution>
{
    static constexpr std::array<
        std::pair<time_distribution, std::string_view>, 3>
        table{
            {{time_distribution::fixed, "fixed"},
             {time_distribution::exponential, "exponential"},
             {time_distribution::lognormal, "lognormal"}}};
};

// The effect of a poisoned request on the process.
enum class crash_kind : std::uint8_t
{
    // Exits immediately with `exit_crashed`.
    exit,
    // Closes all connections and refuses new ones for `refuse_time`.
    close
};

template <>
struct enum_names<crash_kind>
{
    static constexpr std::array<std::pair<crash_kind, std::string_view>, 2>
        table{{{crash_kind::exit, "exit"}, {crash_kind::close, "close"}}};
};

// Upstreams for one path prefix that are called directly, for comparison runs
// without nodes.
struct direct_service
{
    std::string path_prefix;
    std::vector<boost::asio::ip::tcp::endpoint> endpoints;
};

struct upstream_settings
{
    std::string service = "service";
    boost::asio::ip::tcp::endpoint listen;
    boost::asio::ip::tcp::endpoint control;
    // The loopback port of the upstream's own node.
    std::optional<boost::asio::ip::tcp::endpoint> node;
    std::size_t slots = 100;
    std::size_t connections = 1'000;
    // Maximum of requests queued for a slot; the rest is shed with 503.
    std::size_t queue = 100;
    duration service_time = 20ms;
    time_distribution distribution = time_distribution::lognormal;
    // Shape of the lognormal distribution.
    double sigma = 0.5;
    // Initial factor of the service times; falls linearly to 1 within
    // `warm_up`.
    double cold_factor = 1.0;
    duration warm_up{};
    std::uint64_t seed = 1;
    // Paths called for each request without a `calls` parameter.
    std::vector<std::string> calls;
    std::vector<direct_service> direct;
    // Retries of a failed direct child call.
    std::uint32_t child_retries = 0;
    duration child_timeout = 2s;
    crash_kind crash = crash_kind::exit;
    duration refuse_time = 1s;
    // Time limit of a graceful stop.
    duration stop_time = 5s;
    // Limits of the request log and of the log of received header bytes.
    std::size_t max_logged_requests = 100'000;
    std::size_t max_received_bytes = 1'000'000;
};

// Parses "/payments=127.0.0.1:1,127.0.0.1:2;/stock=127.0.0.1:3".
[[nodiscard]] std::vector<direct_service>
parse_direct_services(std::string_view text, findings& found);

// Splits a text at each separator. An empty text has no parts.
[[nodiscard]] std::vector<std::string>
split(std::string_view text, char separator);

} // namespace cyclamenhold
