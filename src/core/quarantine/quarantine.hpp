// Quarantine of requests that crash the upstreams that run them. Requests in
// flight when an upstream crashes become suspects, except those of which others
// have just succeeded. Gates run suspects one at a time. A suspect that ends
// without a crash is cleared on all nodes. One that is in flight when a third
// upstream incarnation crashes is quarantined for a bounded time; two crashes
// at one moment can have another cause. A node that starts obtains the table
// from the platform or from members before it runs requests, and nodes that
// have missed reports catch up. All tables are bounded. Runs on the control
// thread; the request path reads a published view.
#pragma once

#include "core/base/random.hpp"
#include "core/base/time.hpp"
#include "core/membership/membership.hpp"
#include "ports/control_actions.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
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

// The exchange of tables with members.
struct quarantine_exchange
{
    // Whether a member that has the fleet's table has sent it since the start.
    bool has_table = false;
    time_point next_request_at{};
    // The members of the last check for new ones, and how many were alive.
    std::uint64_t members_version = 0;
    std::size_t alive = 0;
    time_point next_check_at{};
};

// When a quarantined request that is not in the platform's record as far as
// this node knows is to be recorded.
struct unrecorded_request
{
    time_point due{};
    // Whether this node reported one of the crashes. The reporters record the
    // request; the members that rank first for it do so only if none of them
    // did.
    bool is_reporter = false;
};

// The record of quarantined requests in the platform's store: one key for each,
// under a lease that ends with the quarantine.
struct quarantine_record
{
    // Whether the record has been read since the start.
    bool has_read = false;
    std::uint64_t last_call_id = 0;

    // The call that reads or watches the record; zero if there is none.
    std::uint64_t read_call = 0;
    time_point read_expires_at{};
    time_point next_read_at{};
    std::uint32_t read_failures = 0;
    // The last key of the previous page of a list.
    std::string after;
    // Whether the current list has its first page, and whether it is complete,
    // so that the record is watched from now on.
    bool has_first_page = false;
    bool is_listed = false;
    // The store's revision at the first page of the list, later that of the
    // last watch, which returns the changes after it.
    std::uint64_t revision = 0;

    std::map<std::uint64_t, unrecorded_request> unrecorded;
    // The call that grants a lease or writes a key; zero if there is none.
    std::uint64_t write_call = 0;
    time_point write_expires_at{};
    std::uint64_t write_digest = 0;
    std::uint64_t write_lease = 0;
};

struct quarantine_state
{
    quarantine_settings settings;
    quarantine_exchange exchange;
    quarantine_record record;
    std::uint64_t wall_clock_ms = 0;
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

void quarantine_on_platform_reply(
    quarantine_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions);

// Drops expired entries, exchanges the table with members and the platform.
// `wall_clock_ms` counts from the Unix epoch.
void quarantine_tick(
    quarantine_state& state, const membership_state& members,
    std::uint64_t wall_clock_ms, time_point now, random_source& random,
    control_actions& actions);
// The platform has begun a new era: what it has lost of the record is written
// again.
void quarantine_begin_era(
    quarantine_state& state, time_point now, random_source& random);
[[nodiscard]] time_point quarantine_due(const quarantine_state& state);

// Whether this node has obtained the fleet's table since its start.
[[nodiscard]] bool is_quarantine_known(const quarantine_state& state);

[[nodiscard]] quarantine_view
build_quarantine_view(const quarantine_state& state);
[[nodiscard]] bool
is_suspect(const quarantine_view& view, std::uint64_t digest);
[[nodiscard]] bool
is_quarantined(const quarantine_view& view, std::uint64_t digest);

} // namespace cyclamenhold
