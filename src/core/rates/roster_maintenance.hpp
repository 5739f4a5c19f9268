// How a host learns and joins its roster, and when it may use its weight.
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

// A platform call under way.
struct roster_call
{
    std::uint64_t call_id = 0;
    time_point requested_at{};
    // The roster that a compare-and-swap proposes; index 0 for a read.
    roster proposed;
};

// A removal this host proposes.
struct removal_proposal
{
    host_id host = host_id::none;
    std::uint64_t index = 0;
    std::set<host_id> confirmed;
    time_point requested_at{};
};

struct roster_state
{
    roster known;
    // Every member of the roster with this index has confirmed it or a later
    // one, so that members who joined by it may use their weight.
    std::uint64_t floor = 0;
    time_point started_at{};
    // A restarted host has learned the newest roster since its wait ended.
    bool is_roster_current = false;
    std::optional<roster_call> call;
    time_point next_call_at{};
    duration call_back_off{};
    std::uint64_t last_id = 0;
    time_point platform_read_at = time_point::min();
    // The platform has answered that there is no roster yet.
    bool is_known_absent = false;
    // When this host last wrote the roster anew to end refusals.
    time_point rewritten_at{};
    // The round of queries under way and when it began.
    std::uint64_t query = 0;
    time_point queried_at = time_point::min();
    time_point next_query_at{};
    // When the newest answered query of each member was asked.
    std::map<host_id, time_point> contacts;
    // Members that were still missing when a removal was seen count until
    // then as if they were there.
    std::size_t counted_members = 0;
    time_point counted_until = time_point::min();
    // Hosts that this one has agreed to remove, and from which roster.
    std::map<host_id, std::uint64_t> refused;
    std::optional<removal_proposal> removal;
    time_point next_removal_at{};
};

// Reads the roster, joins it, asks members for theirs.
void tick_roster(rates_context& context);

// Takes a newer roster from anywhere.
void adopt_roster(rates_context& context, const roster& hosts);

// This host's weight is one part in so many.
[[nodiscard]] std::size_t
weight_parts(const roster_state& state, time_point now);

// The host is on the roster, has waited out a term if it was restarted, and
// its joining has been confirmed by all.
[[nodiscard]] bool is_active(const rates_context& context);

// Until when the host may use its weight without further contact.
[[nodiscard]] time_point contact_expires_at(const rates_context& context);

// What is left of that; never negative.
[[nodiscard]] duration contact_time_left(const rates_context& context);

// The part of it that rests on answers of more than half of the members.
[[nodiscard]] time_point peer_contact_expires_at(const rates_context& context);

// Proposes a roster to the platform.
void write_roster(rates_context& context, const roster& next);

// A restarted host whose earlier life may still have a pledge in force.
[[nodiscard]] bool is_in_restart_wait(const rates_context& context);

void on_roster_reply(rates_context& context, const platform_reply& reply);

} // namespace cyclamenhold
