// Reading and joining the roster, and the conditions under which a host may use
// its weight.
#pragma once

#include "core/base/time.hpp"
#include "core/rates/roster.hpp"
#include "ports/platform.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace cyclamenhold
{

struct rates_context;

// A pending call to the platform.
struct roster_call
{
    std::uint64_t call_id = 0;
    time_point requested_at{};
    // The roster that a compare-and-swap proposes; index 0 for a read.
    roster proposed;
};

// A removal that this host proposes.
struct removal_proposal
{
    host_id host = host_id::none;
    // Index of the roster that the host is to be removed from.
    std::uint64_t index = 0;
    // Members that agree.
    std::set<host_id> confirmed;
    time_point requested_at{};
};

struct roster_state
{
    roster known;
    // Every member of the roster with this index has confirmed it or a later
    // one, so that members that joined at or before it may use their weight.
    std::uint64_t floor = 0;
    time_point started_at{};
    // A restarted host has read the newest roster since its restart wait ended.
    bool is_roster_current = false;
    std::optional<roster_call> call;
    time_point next_call_at{};
    duration call_back_off{};
    // Last id of a platform call or a round of queries.
    std::uint64_t last_id = 0;
    // Time of the newest call that the platform has answered.
    time_point platform_read_at = time_point::min();
    // The platform has answered that it stores no roster.
    bool is_known_absent = false;
    // Last time this host rewrote the roster to clear refusals by its peers.
    time_point rewritten_at{};
    // Id and start time of the current round of queries.
    std::uint64_t query = 0;
    time_point queried_at = time_point::min();
    time_point next_query_at{};
    // Send time of the newest query that each member has answered.
    std::map<host_id, time_point> contacts;
    // Until `counted_until`, the number of members that the weight is divided
    // by includes those that were removed.
    std::size_t counted_members = 0;
    time_point counted_until = time_point::min();
    // Hosts that this one has agreed to remove, with the index of the roster
    // that they are removed from. Their queries are refused.
    std::map<host_id, std::uint64_t> refused;
    std::optional<removal_proposal> removal;
    time_point next_removal_at{};
};

// Reads the roster, joins it, queries members, and proposes removals.
void tick_roster(rates_context& context);

// Adopts a roster if it is newer than the known one.
void adopt_roster(rates_context& context, const roster& hosts);

// The divisor of this host's weight: its weight is 1 / weight_parts.
[[nodiscard]] std::size_t
weight_parts(const roster_state& state, time_point now);

// True when this host is on the roster, all members have confirmed its joining,
// and, after a restart, its restart wait has ended and its roster is current.
[[nodiscard]] bool is_active(const rates_context& context);

// The time until which this host may use its weight without further contact
// with a majority of the members or the platform.
[[nodiscard]] time_point contact_expires_at(const rates_context& context);

// Time left until contact_expires_at; never negative, 24 h when unlimited.
[[nodiscard]] duration contact_time_left(const rates_context& context);

// The same from answers of more than half of the members alone.
[[nodiscard]] time_point peer_contact_expires_at(const rates_context& context);

// Proposes a roster to the platform.
void write_roster(rates_context& context, const roster& next);

// True for a restarted host whose earlier incarnation may still have granted a
// weight lease that is in force.
[[nodiscard]] bool is_in_restart_wait(const rates_context& context);

void on_roster_reply(rates_context& context, const platform_reply& reply);

} // namespace cyclamenhold
