#include "adapters/settings_table.hpp"

#include <array>

namespace cyclamenhold
{
namespace
{

constexpr std::uint64_t mebibyte = 1024ULL * 1024;
constexpr std::uint64_t hour_ms = 3'600'000;

// The function that gives `settings.path`, for the table below.
#define CYCLAMEN_MEMBER(path)                                                  \
    (+[](node_settings& settings) -> decltype((settings.path))                 \
     {                                                                         \
         return settings.path;                                                 \
     })

using enum setting_presence;

const std::array table{
    setting_entry{
        "/name", CYCLAMEN_MEMBER(name), required, 0, 0, "",
        "The node's name in logs, events and status."},
    setting_entry{
        "/data_centre", CYCLAMEN_MEMBER(data_centre), required, 0, 0, "",
        "The data centre that the host stands in, by its configured name."},
    setting_entry{
        "/region", CYCLAMEN_MEMBER(region), required, 0, 0, "",
        "The region that the data centre belongs to."},
    setting_entry{
        "/data_centres", CYCLAMEN_MEMBER(data_centres), optional, 0, 0, "",
        "All data centres, each with the same share of the rates, where the "
        "configuration names none."},
    setting_entry{
        "/interface", CYCLAMEN_MEMBER(interface), optional, 0, 0, "",
        "Whose interface the node speaks to callers, the upstream, operators "
        "and the key-value service."},
    setting_entry{
        "/service", CYCLAMEN_MEMBER(service), optional, 0, 0, "",
        "The service of the upstream on this host."},
    setting_entry{
        "/listen/callers", CYCLAMEN_MEMBER(listen.callers), required, 0, 0, "",
        "HTTP/1.1 for callers."},
    setting_entry{
        "/listen/upstream", CYCLAMEN_MEMBER(listen.upstream), required, 0, 0,
        "",
        "HTTP/1.1 for the upstream on this host: announcements, drain and "
        "child calls. A loopback address, but on the platform's interface."},
    setting_entry{
        "/listen/peers", CYCLAMEN_MEMBER(listen.peers), required, 0, 0, "",
        "Other nodes; TCP and UDP at the same port."},
    setting_entry{
        "/listen/operators", CYCLAMEN_MEMBER(listen.operators), required, 0, 0,
        "", "The operators' API, the metrics and the events."},
    setting_entry{
        "/listen/ready", CYCLAMEN_MEMBER(listen.ready), optional, 0, 0, "",
        "HTTP/1.1 for checks whether the node is ready for callers."},
    setting_entry{
        "/advertise", CYCLAMEN_MEMBER(advertise), optional, 0, 0, "",
        "Where other nodes reach this one. Required when `/listen/peers` is "
        "0.0.0.0; otherwise the same as that."},
    setting_entry{
        "/fleet_secret_file", CYCLAMEN_MEMBER(fleet_secret_file), optional, 0,
        0, "",
        "File with the secret that all nodes share; it authenticates peers "
        "and keys."},
    setting_entry{
        "/fleet_secret", CYCLAMEN_MEMBER(fleet_secret), optional, 0, 0, "",
        "The fleet secret itself instead of its file, for tests."},
    setting_entry{
        "/operator_credential_file", CYCLAMEN_MEMBER(operator_credential_file),
        optional, 0, 0, "",
        "File with the credential that operators show to the API."},
    setting_entry{
        "/operator_credential", CYCLAMEN_MEMBER(operator_credential), optional,
        0, 0, "", "The credential itself instead of its file, for tests."},
    setting_entry{
        "/platform", CYCLAMEN_MEMBER(platform), required, 0, 0, "",
        "The platform's key-value service."},
    setting_entry{
        "/seeds", CYCLAMEN_MEMBER(seeds), optional, 0, 0, "",
        "Peer endpoints of nodes to join by while the platform is away."},
    setting_entry{
        "/request_threads", CYCLAMEN_MEMBER(request_threads), optional, 1, 64,
        "threads", "Threads that carry requests."},
    setting_entry{
        "/limits/max_header_bytes", CYCLAMEN_MEMBER(limits.max_header_bytes),
        optional, 1024, mebibyte, "bytes",
        "Longest request line and header fields together."},
    setting_entry{
        "/limits/max_body_bytes", CYCLAMEN_MEMBER(limits.max_body_bytes),
        optional, 0, 1024 * 1024 * mebibyte, "bytes",
        "Longest body of a request or a reply."},
    setting_entry{
        "/limits/header_timeout_ms", CYCLAMEN_MEMBER(limits.header_timeout),
        optional, 10, hour_ms, "ms",
        "A caller whose request header takes longer is cut off."},
    setting_entry{
        "/limits/idle_timeout_ms", CYCLAMEN_MEMBER(limits.idle_timeout),
        optional, 10, hour_ms, "ms",
        "A kept-alive connection without a request is closed after this."},
    setting_entry{
        "/limits/body_stall_timeout_ms",
        CYCLAMEN_MEMBER(limits.body_stall_timeout), optional, 10, hour_ms, "ms",
        "A body that makes no progress for this long is cut off."},
    setting_entry{
        "/limits/max_connections", CYCLAMEN_MEMBER(limits.max_connections),
        optional, 1, 1'000'000, "connections", "Callers' connections at once."},
    setting_entry{
        "/membership/probe_interval_ms",
        CYCLAMEN_MEMBER(membership.probe_interval), optional, 10, 60'000, "ms",
        "Time between two probes of random members."},
    setting_entry{
        "/membership/probe_timeout_ms",
        CYCLAMEN_MEMBER(membership.probe_timeout), optional, 1, 60'000, "ms",
        "A probe without an answer for this long is tried indirectly."},
    setting_entry{
        "/membership/suspicion_ms", CYCLAMEN_MEMBER(membership.suspicion_time),
        optional, 10, 600'000, "ms",
        "A suspect that does not refute for this long is taken for dead."},
    setting_entry{
        "/membership/indirect_probes",
        CYCLAMEN_MEMBER(membership.indirect_probes), optional, 0, 16, "members",
        "Members asked to probe a silent one."},
    setting_entry{
        "/rates/sharing", CYCLAMEN_MEMBER(rates.sharing), optional, 0, 0, "",
        "How hosts divide a workspace's rate: exactly in every fault, or by "
        "demand at once and nearly."},
    setting_entry{
        "/rates/window_s", CYCLAMEN_MEMBER(rates.window_seconds), optional, 0,
        3'600, "s",
        "With sharing by demand: each span of this length may have the burst "
        "on top of the rate; 0 where the burst is saved up."},
    setting_entry{
        "/rates/overage", CYCLAMEN_MEMBER(rates.overage), optional, 0, 1, "",
        "With sharing by demand: the part of rate and burst that hosts may "
        "together admit beyond them in a window, since none knows all of the "
        "demand at each moment."},
    setting_entry{
        "/rates/slack", CYCLAMEN_MEMBER(rates.slack), optional, 0, 1'000'000,
        "requests", "As `overage`, a number of requests for each workspace."},
    setting_entry{
        "/rates/longest_wait_ms", CYCLAMEN_MEMBER(rates.longest_wait), optional,
        0, 60'000, "ms", "The longest that a request waits for a token."},
    setting_entry{
        "/rates/term_ms", CYCLAMEN_MEMBER(rates.term), optional, 100, 600'000,
        "ms", "How long a pledge or a loan of rate lasts."},
    setting_entry{
        "/upstream/trusts_slots", CYCLAMEN_MEMBER(upstream.has_exact_slots),
        optional, 0, 1, "",
        "1 where the slots that upstreams announce are what they really run "
        "at once; otherwise the limit is learned."},
    setting_entry{
        "/upstream/reserved_for_calls",
        CYCLAMEN_MEMBER(upstream.reserved_for_calls), optional, 0, 90, "%",
        "Part of the limit that callers' requests leave to calls of "
        "upstreams."},
    setting_entry{
        "/retries/fleet_slack", CYCLAMEN_MEMBER(retries.fleet_slack), optional,
        0, 1'000'000, "requests",
        "Repeats that all nodes together may save up for each service; 0 for "
        "no such bound."},
    setting_entry{
        "/claims/retention_ms", CYCLAMEN_MEMBER(claims.retention), optional,
        1000, 24 * hour_ms, "ms",
        "How long the outcome of a never-repeat request is kept."},
    setting_entry{
        "/claims/term_ms", CYCLAMEN_MEMBER(claims.term), optional, 100, 600'000,
        "ms", "How long a claim may be used after it was granted."},
    setting_entry{
        "/log/level", CYCLAMEN_MEMBER(log.level), optional, 0, 0, "",
        "The least serious lines that are written."},
    setting_entry{
        "/log/file", CYCLAMEN_MEMBER(log.file), optional, 0, 0, "",
        "Where lines go; `-` is the standard error stream, `stdout` the "
        "standard output."},
    setting_entry{
        "/log/decisions_per_second", CYCLAMEN_MEMBER(log.decisions_per_second),
        optional, 0, 100'000, "lines/s",
        "Most lines about single requests and beliefs; those beyond are "
        "counted."},
    setting_entry{
        "/key_trust_ms", CYCLAMEN_MEMBER(max_key_staleness), optional, 0,
        hour_ms, "ms",
        "Keys are refused when the configuration was last known to be the "
        "newest longer ago than this; 0 for never."},
    setting_entry{
        "/event_ring_size", CYCLAMEN_MEMBER(event_ring_size), optional, 0,
        10'000'000, "events", "Events kept in memory for the time line."},
    setting_entry{
        "/stop_timeout_ms", CYCLAMEN_MEMBER(stop_timeout), optional, 0, hour_ms,
        "ms", "A planned stop that takes longer cuts what is left."},
};

#undef CYCLAMEN_MEMBER

} // namespace

std::span<const setting_entry> settings_table()
{
    return table;
}

} // namespace cyclamenhold
