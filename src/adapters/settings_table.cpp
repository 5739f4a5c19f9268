#include "adapters/settings_table.hpp"

#include <array>

namespace cyclamenhold
{
namespace
{

constexpr std::uint64_t mebibyte = 1024ULL * 1024;
constexpr std::uint64_t hour_ms = 3'600'000;

// A function that returns a reference to `settings.path`.
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
        "The configured name of the host's data centre."},
    setting_entry{
        "/region", CYCLAMEN_MEMBER(region), required, 0, 0, "",
        "The region of the data centre."},
    setting_entry{
        "/data_centres", CYCLAMEN_MEMBER(data_centres), optional, 0, 0, "",
        "All data centres, each with the same share of the rates. Used "
        "when the configuration has none."},
    setting_entry{
        "/data_centre_regions", CYCLAMEN_MEMBER(data_centre_regions), optional,
        0, 0, "",
        "The regions of the data centres in `/data_centres`, in the same "
        "order."},
    setting_entry{
        "/watches_evacuations", CYCLAMEN_MEMBER(watches_evacuations), optional,
        0, 1, "",
        "1 if operators evacuate data centres by entries of the key-value "
        "service."},
    setting_entry{
        "/interface", CYCLAMEN_MEMBER(interface), optional, 0, 0, "",
        "The protocol that the node uses with callers, the upstream, "
        "operators and the key-value service."},
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
        "child calls. Must be a loopback address unless `/interface` is "
        "`platform`."},
    setting_entry{
        "/listen/peers", CYCLAMEN_MEMBER(listen.peers), required, 0, 0, "",
        "For other nodes; TCP and UDP at the same port."},
    setting_entry{
        "/listen/operators", CYCLAMEN_MEMBER(listen.operators), required, 0, 0,
        "", "The operators' API, the metrics and the events."},
    setting_entry{
        "/listen/ready", CYCLAMEN_MEMBER(listen.ready), optional, 0, 0, "",
        "HTTP/1.1 for readiness checks; replies 200 while the node accepts "
        "callers."},
    setting_entry{
        "/advertise", CYCLAMEN_MEMBER(advertise), optional, 0, 0, "",
        "The endpoint at which other nodes reach this one. Required if "
        "`/listen/peers` is 0.0.0.0; otherwise `/listen/peers` by default."},
    setting_entry{
        "/fleet_secret_file", CYCLAMEN_MEMBER(fleet_secret_file), optional, 0,
        0, "",
        "File with the secret that all nodes share. It authenticates peers "
        "and keys."},
    setting_entry{
        "/fleet_secret", CYCLAMEN_MEMBER(fleet_secret), optional, 0, 0, "",
        "The fleet secret itself, instead of its file; for tests."},
    setting_entry{
        "/operator_credential_file", CYCLAMEN_MEMBER(operator_credential_file),
        optional, 0, 0, "",
        "File with the credential that operators send to the API."},
    setting_entry{
        "/operator_credential", CYCLAMEN_MEMBER(operator_credential), optional,
        0, 0, "", "The credential itself, instead of its file; for tests."},
    setting_entry{
        "/platform", CYCLAMEN_MEMBER(platform), required, 0, 0, "",
        "The platform's key-value service."},
    setting_entry{
        "/seeds", CYCLAMEN_MEMBER(seeds), optional, 0, 0, "",
        "Peer endpoints of nodes for joining while the platform is "
        "unreachable."},
    setting_entry{
        "/request_threads", CYCLAMEN_MEMBER(request_threads), optional, 1, 64,
        "threads", "Threads that process requests."},
    setting_entry{
        "/limits/max_header_bytes", CYCLAMEN_MEMBER(limits.max_header_bytes),
        optional, 1024, mebibyte, "bytes",
        "Maximum size of the request line and header fields together."},
    setting_entry{
        "/limits/max_body_bytes", CYCLAMEN_MEMBER(limits.max_body_bytes),
        optional, 0, 1024 * 1024 * mebibyte, "bytes",
        "Maximum body size of a request or a reply."},
    setting_entry{
        "/limits/header_timeout_ms", CYCLAMEN_MEMBER(limits.header_timeout),
        optional, 10, hour_ms, "ms",
        "A caller's connection is closed if a request header takes longer."},
    setting_entry{
        "/limits/idle_timeout_ms", CYCLAMEN_MEMBER(limits.idle_timeout),
        optional, 10, hour_ms, "ms",
        "An idle keep-alive connection is closed after this time."},
    setting_entry{
        "/limits/body_stall_timeout_ms",
        CYCLAMEN_MEMBER(limits.body_stall_timeout), optional, 10, hour_ms, "ms",
        "A transfer is aborted if its body makes no progress for this "
        "time."},
    setting_entry{
        "/limits/max_connections", CYCLAMEN_MEMBER(limits.max_connections),
        optional, 1, 1'000'000, "connections",
        "Maximum number of concurrent connections of callers."},
    setting_entry{
        "/membership/probe_interval_ms",
        CYCLAMEN_MEMBER(membership.probe_interval), optional, 10, 60'000, "ms",
        "Time between two probes of random members."},
    setting_entry{
        "/membership/probe_timeout_ms",
        CYCLAMEN_MEMBER(membership.probe_timeout), optional, 1, 60'000, "ms",
        "Indirect probes start if a probe has no answer after this time."},
    setting_entry{
        "/membership/suspicion_ms", CYCLAMEN_MEMBER(membership.suspicion_time),
        optional, 10, 600'000, "ms",
        "A suspected member that does not refute within this time is "
        "considered dead."},
    setting_entry{
        "/membership/indirect_probes",
        CYCLAMEN_MEMBER(membership.indirect_probes), optional, 0, 16, "members",
        "Members that are requested to probe an unresponsive one."},
    setting_entry{
        "/rates/sharing", CYCLAMEN_MEMBER(rates.sharing), optional, 0, 0, "",
        "How hosts divide a workspace's rate: `by-pledge` never exceeds "
        "it, whatever fails; `by-demand` adapts to demand immediately but "
        "may exceed it briefly."},
    setting_entry{
        "/rates/window_s", CYCLAMEN_MEMBER(rates.window_seconds), optional, 0,
        3'600, "s",
        "With sharing by demand: each span of this length may have the "
        "burst in addition to the rate; 0 if the burst refills only from "
        "the unused rate."},
    setting_entry{
        "/rates/overage", CYCLAMEN_MEMBER(rates.overage), optional, 0, 1, "",
        "With sharing by demand: the fraction of rate and burst that all "
        "hosts together may admit in excess in a window, since no host has "
        "the current demand of all others."},
    setting_entry{
        "/rates/slack", CYCLAMEN_MEMBER(rates.slack), optional, 0, 1'000'000,
        "requests",
        "As `overage`, but a number of requests for each workspace."},
    setting_entry{
        "/rates/longest_wait_ms", CYCLAMEN_MEMBER(rates.longest_wait), optional,
        0, 60'000, "ms", "Maximum time that a request waits for a token."},
    setting_entry{
        "/rates/term_ms", CYCLAMEN_MEMBER(rates.term), optional, 100, 600'000,
        "ms", "Term of a weight lease."},
    setting_entry{
        "/upstream/trusts_slots", CYCLAMEN_MEMBER(upstream.has_exact_slots),
        optional, 0, 1, "",
        "1 if upstreams run exactly as many requests at once as they "
        "announce slots; 0 if the concurrency limit is estimated."},
    setting_entry{
        "/upstream/reserved_for_calls",
        CYCLAMEN_MEMBER(upstream.reserved_for_calls), optional, 0, 90, "%",
        "Part of the concurrency limit that callers' requests leave to "
        "child calls."},
    setting_entry{
        "/upstream/cold_overage", CYCLAMEN_MEMBER(upstream.cold_overage),
        optional, 1, 1'000, "",
        "The factor by which the requests to a cold upstream may exceed, in "
        "one second, the rate that the configuration names for its service."},
    setting_entry{
        "/upstream/cold_slack", CYCLAMEN_MEMBER(upstream.cold_slack), optional,
        0, 1'000'000, "requests",
        "As `cold_overage`, but a number of requests in addition."},
    setting_entry{
        "/overload/tree_budgets", CYCLAMEN_MEMBER(overload.has_tree_budgets),
        optional, 0, 1, "",
        "1 if root requests are admitted only where their whole call trees "
        "fit into the services below; hosts then report runs and calls to "
        "each other."},
    setting_entry{
        "/retries/fleet_slack", CYCLAMEN_MEMBER(retries.fleet_slack), optional,
        0, 1'000'000, "requests",
        "Retries that all nodes together may save up for each service; 0 "
        "for no such bound."},
    setting_entry{
        "/claims/retention_ms", CYCLAMEN_MEMBER(claims.retention), optional,
        1000, 24 * hour_ms, "ms",
        "How long the outcome of a never-repeat request is stored."},
    setting_entry{
        "/claims/term_ms", CYCLAMEN_MEMBER(claims.term), optional, 100, 600'000,
        "ms", "How long a claim is valid after it was granted."},
    setting_entry{
        "/log/level", CYCLAMEN_MEMBER(log.level), optional, 0, 0, "",
        "Lowest level of the lines that are written."},
    setting_entry{
        "/log/file", CYCLAMEN_MEMBER(log.file), optional, 0, 0, "",
        "File of the log; `-` is the standard error stream, `stdout` the "
        "standard output."},
    setting_entry{
        "/log/decisions_per_second", CYCLAMEN_MEMBER(log.decisions_per_second),
        optional, 0, 100'000, "lines/s",
        "Maximum rate of lines about single requests; lines beyond it are "
        "counted instead."},
    setting_entry{
        "/key_trust_ms", CYCLAMEN_MEMBER(max_key_staleness), optional, 0,
        hour_ms, "ms",
        "Keys are refused if the configuration was last confirmed to be "
        "the newest longer ago than this; 0 for no limit."},
    setting_entry{
        "/event_ring_size", CYCLAMEN_MEMBER(event_ring_size), optional, 0,
        10'000'000, "events", "Capacity of the event ring for the time line."},
    setting_entry{
        "/stop_timeout_ms", CYCLAMEN_MEMBER(stop_timeout), optional, 0, hour_ms,
        "ms",
        "Requests that still run after this time of a planned stop are "
        "aborted."},
    setting_entry{
        "/key_revocation_s", CYCLAMEN_MEMBER(key_revocation_seconds), optional,
        0, 3'600, "s",
        "Time within which a removed key must have no effect on any host. If "
        "given, it determines `/key_trust_ms`, which is nine tenths of it."},
    setting_entry{
        "/stop_grace_s", CYCLAMEN_MEMBER(stop_grace_seconds), optional, 0,
        3'600, "s",
        "Time from the stop signal until the platform kills the process. If "
        "given, it determines `/stop_timeout_ms`, which is nine tenths of it."},
};

#undef CYCLAMEN_MEMBER

} // namespace

std::span<const setting_entry> settings_table()
{
    return table;
}

} // namespace cyclamenhold
