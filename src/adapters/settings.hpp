// The settings of a node: a JSON file that may contain comments. Read at start
// and on a reload.
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

// Which protocol the node uses with callers, the upstream, operators and the
// store.
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
    // HTTP/1.1 for the upstream on this host; must be a loopback address with
    // interface_kind::cyclamen.
    ip_endpoint upstream;
    // Other nodes: TCP and UDP at the same port.
    ip_endpoint peers;
    // The operators' API, metrics and events.
    ip_endpoint operators;
    // HTTP/1.1 for readiness checks: replies 200 while the node accepts
    // callers.
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
    // Maximum time that a request waits for a token.
    std::chrono::milliseconds longest_wait{500};
    // Term of a weight lease.
    std::chrono::milliseconds term{5'000};
};

struct upstream_settings
{
    // 1 if an upstream runs exactly as many requests at once as it announces
    // slots; 0 if the concurrency limit is estimated.
    std::uint32_t has_exact_slots = 0;
    // Percentage of the concurrency limit that callers' requests leave to
    // child calls.
    std::uint32_t reserved_for_calls = 0;
    // By how much the rate of a cold upstream may be exceeded in one second.
    double cold_overage = 1.0;
    double cold_slack = 0.0;
};

struct overload_settings
{
    // 1 if root requests are admitted by what their call trees take in the
    // services below, as the fleet counts it.
    std::uint32_t has_tree_budgets = 0;
};

struct retry_settings
{
    // Retries that the whole fleet may save up for one service, beyond a tenth
    // of the requests for it; zero for no bound.
    double fleet_slack = 0.0;
};

struct claim_settings
{
    // How long the outcome of a never-repeat request is stored.
    std::chrono::milliseconds retention{600'000};
    // How long a claim is valid after it was granted.
    std::chrono::milliseconds term{30'000};
};

struct log_settings
{
    log_level level = log_level::info;
    // "-" for the standard error stream.
    std::string file = "-";
    // Maximum rate of lines about single requests; lines beyond it are counted
    // instead.
    std::uint32_t decisions_per_second = 50;
};

struct node_settings
{
    std::string name;
    std::string data_centre;
    std::string region;
    // All data centres, each with the same share of the rates. Used when the
    // configuration has none.
    std::vector<std::string> data_centres;
    // Their regions, in the same order; empty if not given.
    std::vector<std::string> data_centre_regions;
    // Whether operators evacuate data centres by entries of the store.
    std::uint32_t watches_evacuations = 0;
    interface_kind interface = interface_kind::cyclamen;
    // The service of the upstream on this host; sent to other upstreams with
    // the requests that enter here.
    std::string service;
    listen_settings listen;
    // The address at which other nodes reach this one; `listen.peers` if not
    // set.
    std::optional<ip_endpoint> advertise;
    // Exactly one of each pair is set: the file or the secret itself.
    std::string fleet_secret_file;
    std::string fleet_secret;
    std::string operator_credential_file;
    std::string operator_credential;
    ip_endpoint platform;
    // Peer endpoints for joining, in addition to those stored in the platform.
    std::vector<ip_endpoint> seeds;
    std::uint32_t request_threads = 2;
    limit_settings limits;
    membership_timings membership;
    rate_settings rates;
    claim_settings claims;
    upstream_settings upstream;
    overload_settings overload;
    retry_settings retries;
    log_settings log;
    // Capacity of the event ring for the time line, in events.
    std::uint32_t event_ring_size = 65'536;
    // Keys are accepted for this time after the local configuration was last
    // confirmed to be the newest; zero for no limit.
    std::chrono::milliseconds max_key_staleness{0};
    // Requests that still run after this time of a planned stop are aborted.
    std::chrono::milliseconds stop_timeout{30'000};
    // The bounds of the deployment, in seconds; zero if not given. A given
    // bound determines the time of the node that depends on it.
    double key_revocation_seconds = 0.0;
    double stop_grace_seconds = 0.0;
};

// For how long keys are accepted without a confirmation of the configuration:
// less than the time within which a removed key must have no effect, if that is
// given. Zero for no limit.
[[nodiscard]] std::chrono::milliseconds
max_key_staleness_of(const node_settings& settings);

// The length of a planned stop: less than the time after which the platform
// kills the process, if that is given.
[[nodiscard]] std::chrono::milliseconds
stop_timeout_of(const node_settings& settings);

// For how long a stopping node takes requests that may last longer than the
// rest of the stop.
[[nodiscard]] std::chrono::milliseconds
acceptance_time_of(const node_settings& settings);

struct settings_result
{
    // Valid only if `found` is empty.
    node_settings settings;
    findings found;
};

// Parses the text of a settings file. The place of a finding is a JSON pointer,
// or a line and column if the text is not JSON.
[[nodiscard]] settings_result parse_settings(std::string_view text);

// Reads and parses a settings file. An unreadable file is a finding whose place
// is the path.
[[nodiscard]] settings_result load_settings(const std::string& path);

// The endpoint at which other nodes reach this one.
[[nodiscard]] ip_endpoint advertised_endpoint(const node_settings& settings);

// The reference table of all settings for operators, in Markdown.
[[nodiscard]] std::string settings_reference();

} // namespace cyclamenhold
