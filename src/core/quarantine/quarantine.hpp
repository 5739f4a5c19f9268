// Quarantine of requests that crash the upstreams that run them. Requests in
// flight when an upstream crashes become suspects, except those of which others
// have just succeeded. Gates run suspects one at a time. A suspect that ends
// without a crash is cleared on all nodes. One that is in flight when a third
// upstream incarnation crashes is quarantined for a bounded time; two crashes
// at one moment can have another cause. All tables are bounded. Runs on the
// control thread; the request path reads a published view.
#pragma once

#include "core/base/random.hpp"
#include "core/base/time.hpp"
#include "core/membership/membership.hpp"
#include "ports/control_actions.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace cyclamenhold
{

// One incarnation of one upstream.
struct upstream_incarnation
{
    host_id host = host_id::none;
    // Unique within the host; a larger value is newer.
    std::uint64_t incarnation = 0;
    bool operator==(const upstream_incarnation&) const = default;
    bool operator<(const upstream_incarnation& other) const
    {
        return std::pair(host, incarnation) <
               std::pair(other.host, other.incarnation);
    }
};

struct suspect
{
    // The crashes during which it was in flight; less than
    // crashes_to_quarantine.
    std::vector<upstream_incarnation> crashes;
    time_point expires_at{};
};

// A request that was in flight in so many crashes, without a success in
// between, is quarantined.
constexpr std::size_t crashes_to_quarantine = 3;

// Identifies a report of a crash: the crash and a hash of the digests. There
// may be several reports with different requests, since broken connections are
// not noticed at the same time.
using crash_report_id = std::pair<upstream_incarnation, std::uint64_t>;

struct quarantine_settings
{
    host_id self = host_id::none;
    // How long a request stays a suspect after a crash.
    duration suspicion_time = 60s;
    duration quarantine_time = 300s;
    std::size_t max_suspects = 4096;
    std::size_t max_quarantined = 1024;
};

struct quarantine_state
{
    quarantine_settings settings;
    std::map<std::uint64_t, suspect> suspects;
    // The time at which each quarantined digest is admitted again.
    std::map<std::uint64_t, time_point> quarantined;
    // Recorded reports and when they expire, so that a repeated one is ignored.
    std::map<crash_report_id, time_point> reports;
    // Incremented with each change of suspects or quarantined digests.
    std::uint64_t version = 0;
};

// The state that the request path reads, published with each new version.
struct quarantine_view
{
    // Sorted.
    std::vector<std::uint64_t> suspects;
    std::vector<std::uint64_t> quarantined;
};

void quarantine_start(
    quarantine_state& state, const quarantine_settings& settings);

// The local upstream crashed in this incarnation while `digests` were in
// flight. More of them may be reported later.
void quarantine_on_crash(
    quarantine_state& state, const membership_state& members,
    const upstream_incarnation& crash, std::span<const std::uint64_t> digests,
    time_point now, random_source& random, control_actions& actions);

// A request ended without a crash. Has no effect unless it is a suspect.
void quarantine_on_success(
    quarantine_state& state, const membership_state& members,
    std::uint64_t digest, time_point now, random_source& random,
    control_actions& actions);

void quarantine_on_message(
    quarantine_state& state, const membership_state& members,
    const incoming_message& message, time_point now, random_source& random,
    control_actions& actions);

// Drops expired entries.
void quarantine_tick(quarantine_state& state, time_point now);
[[nodiscard]] time_point quarantine_due(const quarantine_state& state);

[[nodiscard]] quarantine_view
build_quarantine_view(const quarantine_state& state);
[[nodiscard]] bool
is_suspect(const quarantine_view& view, std::uint64_t digest);
[[nodiscard]] bool
is_quarantined(const quarantine_view& view, std::uint64_t digest);

} // namespace cyclamenhold
