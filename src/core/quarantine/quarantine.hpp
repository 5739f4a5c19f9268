// Requests that crash the upstreams that run them. What was in flight at an
// upstream's death becomes a suspect; gates run suspects one at a time, a
// suspect that ends well is cleared everywhere, and one that is in flight at
// the death of a second upstream life is quarantined for a bounded time. All
// tables are bounded. Runs on the control thread; the request path reads a
// published view.
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

// One life of one upstream.
struct upstream_incarnation
{
    host_id host = host_id::none;
    // Unique within the host; larger is newer.
    std::uint64_t life = 0;
    bool operator==(const upstream_incarnation&) const = default;
    bool operator<(const upstream_incarnation& other) const
    {
        return std::pair(host, life) < std::pair(other.host, other.life);
    }
};

struct suspect
{
    upstream_incarnation first_crash;
    time_point expires_at{};
};

struct quarantine_settings
{
    host_id self = host_id::none;
    // How long one death is held against a request.
    duration suspicion_time = 60s;
    duration quarantine_time = 300s;
    std::size_t max_suspects = 4096;
    std::size_t max_quarantined = 1024;
};

struct quarantine_state
{
    quarantine_settings settings;
    std::map<std::uint64_t, suspect> suspects;
    // By digest: when it is let in again.
    std::map<std::uint64_t, time_point> quarantined;
    // Deaths that were counted, so that a report counts once.
    std::map<upstream_incarnation, time_point> deaths;
    // Grows with each change of suspects or quarantined.
    std::uint64_t version = 0;
};

// What the request path reads, published with each new version.
struct quarantine_view
{
    // Sorted.
    std::vector<std::uint64_t> suspects;
    std::vector<std::uint64_t> quarantined;
};

void quarantine_start(
    quarantine_state& state, const quarantine_settings& settings);

// The local upstream died in this life while `digests` were in flight.
void quarantine_on_crash(
    quarantine_state& state, const membership_state& members,
    const upstream_incarnation& death, std::span<const std::uint64_t> digests,
    time_point now, random_source& random, control_actions& actions);

// A request ended without a death. Nothing happens unless it is a suspect.
void quarantine_on_success(
    quarantine_state& state, const membership_state& members,
    std::uint64_t digest, time_point now, random_source& random,
    control_actions& actions);

void quarantine_on_message(
    quarantine_state& state, const membership_state& members,
    const incoming_message& message, time_point now, random_source& random,
    control_actions& actions);

// Forgets what is over.
void quarantine_tick(quarantine_state& state, time_point now);
[[nodiscard]] time_point quarantine_due(const quarantine_state& state);

[[nodiscard]] quarantine_view
build_quarantine_view(const quarantine_state& state);
[[nodiscard]] bool
is_suspect(const quarantine_view& view, std::uint64_t digest);
[[nodiscard]] bool
is_quarantined(const quarantine_view& view, std::uint64_t digest);

} // namespace cyclamenhold
