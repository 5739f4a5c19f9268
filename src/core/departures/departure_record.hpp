// The processes of this host's upstream that have announced their departure.
// They are also kept in the platform's store, for a node process that starts
// later: an announcement that such an upstream process sent before its
// departure may reach that one.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/random.hpp"
#include "core/base/time.hpp"
#include "ports/control_actions.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

// The number of processes that are kept: the newest ones.
constexpr std::size_t max_departed_processes = 4;

// How long the store keeps them; announcements may be seconds late, and an
// upstream may serve for many seconds after its departure.
constexpr duration departure_retention = 60s;

struct departed_process
{
    // The id that the process reports, and its start in milliseconds since the
    // Unix epoch. Never empty and never zero.
    std::string id;
    std::uint64_t started_ms = 0;
    bool operator==(const departed_process&) const = default;
};

struct departure_record
{
    // The key of the entry in the store; empty if none is kept.
    std::string key;
    // Oldest first.
    std::vector<departed_process> departed;
    // The version of the entry; zero if there is none.
    std::uint64_t entry_version = 0;
    // The entry has been read since the start, or since the last conflict.
    bool is_read = false;
    // The entry holds all of `departed`, or a write of them is in progress.
    bool is_stored = true;
    std::uint64_t last_call_id = 0;
    // The call in progress; zero if there is none.
    std::uint64_t call_id = 0;
    platform_operation operation = platform_operation::get;
    time_point call_expires_at{};
    // The next call is not started before this time.
    time_point next_call_at{};
    std::uint32_t failures = 0;
};

// Begins to keep the record of this host. The first tick reads the entry that
// earlier node processes wrote.
void departures_start(departure_record& record, host_id self);

// Adds a process. Its id must not be empty, and its start not zero.
void add_departure(departure_record& record, const departed_process& process);

[[nodiscard]] bool has_departed(
    const departure_record& record, std::string_view id,
    std::uint64_t started_ms);

void departures_tick(
    departure_record& record, time_point now, random_source& random,
    control_actions& actions);

void departures_on_platform_reply(
    departure_record& record, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions);

// The platform has returned from an older copy: the entry is read again, and
// written if it lacks a process.
void departures_begin_era(
    departure_record& record, time_point now, random_source& random);

// The time at which departures_tick must run next.
[[nodiscard]] time_point departures_due(const departure_record& record);

} // namespace cyclamenhold
