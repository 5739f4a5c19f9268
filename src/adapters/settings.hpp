// The settings of a node: a JSON file with comments, read once at start.
#pragma once

#include "adapters/log_level.hpp"
#include "core/base/findings.hpp"
#include "core/base/ip_endpoint.hpp"
#include "core/rates/rates.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

// Whose interface the node speaks: how callers, the upstream, operators and
// the store spell what they say.
enum class interface_kind : std::uint8_t
{
    cyclamen,
    platform
};

template <>
struct enum_names<interface_kind>
{
    static constexpr std::array<std::pair<interface_kind, std::string_view>, 2>
        table{
            {{interface_kind::cyclamen, "cyclamen"},
             {interface_kind::platform, "platform"}}};
};

struct listen_settings
{
    // HTTP/1.1 for callers.
    ip_endpoint callers;
    // HTTP/1.1 for the upstream on this host; a loopback address.
    ip_endpoint upstream;
    // Other nodes: TCP and UDP at the same port.
    ip_endpoint peers;
    // The operators' API, metrics and events.
    ip_endpoint operators;
    // Answers 200 while the node is ready for callers.
    std::optional<ip_endpoint> ready = std::nullopt;
    bool operator==(const listen_settings&) const = default;
};

struct limit_settings
{
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 256ULL * 1024 * 1024;
    std::chrono::milliseconds header_timeout{10'000};
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds body_stall_timeout{10'000};
    std::uint32_t max_connections = 10'000;
};

struct membership_timings
{
    std::chrono::milliseconds probe_interval{500};
    std::chrono::milliseconds probe_timeout{200};
    std::chrono::milliseconds suspicion_time{3'000};
    std::uint32_t indirect_probes = 3;
};

struct rate_settings
{
    rate_sharing sharing = rate_sharing::by_pledge;
    // See rates_settings.
    double window_seconds = 0.0;
    double overage = 0.0;
    double slack = 0.0;
    // The longest that a request waits for a token.
    std::chrono::milliseconds longest_wait{500};
    // How long a pledge or a loan lasts.
    std::chrono::milliseconds term{5'000};
};

struct upstream_settings
{
    // The announced slots are what the upstream really runs at once.
    std::uint32_t has_exact_slots = 0;
    // Percent of the concurrency limit that callers' requests leave to calls
    // of upstreams.
    std::uint32_t reserved_for_calls = 0;
};

struct retry_settings
{
    // Repeats that the whole fleet may send to one service in
    // `retry_window`, beyond a tenth of the requests for it.
    double fleet_slack = 0.0;
};

struct claim_settings
{
    // How long the outcome of a never-repeat request is kept.
    std::chrono::milliseconds retention{600'000};
    // How long a claim may be used after it was granted.
    std::chrono::milliseconds term{30'000};
};

struct log_settings
{
    log_level level = log_level::info;
    // "-" for the standard error stream.
    std::string file = "-";
    // Lines about single requests and beliefs; those beyond are counted.
    std::uint32_t decisions_per_second = 50;
};

struct node_settings
{
    std::string name;
    std::string data_centre;
    std::string region;
    // All data centres, each with the same share of the rates, where the
    // configuration names none.
    std::vector<std::string> data_centres;
    interface_kind interface = interface_kind::cyclamen;
    // The service of the upstream on this host, told to other upstreams with
    // the requests that enter here.
    std::string service;
    listen_settings listen;
    // Where other nodes reach this one; `listen.peers` when not given.
    std::optional<ip_endpoint> advertise;
    // One of each pair is given.
    std::string fleet_secret_file;
    std::string fleet_secret;
    std::string operator_credential_file;
    std::string operator_credential;
    ip_endpoint platform;
    // Peer endpoints to join by, beside those found in the platform.
    std::vector<ip_endpoint> seeds;
    std::uint32_t request_threads = 2;
    limit_settings limits;
    membership_timings membership;
    rate_settings rates;
    claim_settings claims;
    upstream_settings upstream;
    retry_settings retries;
    log_settings log;
    // Events kept in memory for the time line.
    std::uint32_t event_ring_size = 65'536;
    // Keys are trusted for so long after the configuration here was last known
    // to be the newest; zero for ever.
    std::chrono::milliseconds max_key_staleness{0};
    // A planned stop that takes longer cuts what is left.
    std::chrono::milliseconds stop_timeout{30'000};
};

struct settings_result
{
    // Meaningful only without findings.
    node_settings settings;
    findings found;
};

// Reads the text of a settings file. Each finding is placed by a JSON pointer,
// or by line and column when the text is not JSON.
[[nodiscard]] settings_result parse_settings(std::string_view text);

// Reads a settings file; a file that cannot be read is a finding, too.
[[nodiscard]] settings_result load_settings(const std::string& path);

// Where other nodes reach this one.
[[nodiscard]] ip_endpoint advertised_endpoint(const node_settings& settings);

// The table of all settings as a page for operators, in Markdown.
[[nodiscard]] std::string settings_reference();

} // namespace cyclamenhold
