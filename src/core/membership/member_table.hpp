// The table of members: which of two statements about a member is newer, and
// what follows from taking it in. Statements about a member are ordered by
// incarnation, then refutation, then state (alive < suspect < dead < left), so
// that all nodes end with the same one in whatever order they hear them.
#pragma once

#include "core/membership/membership.hpp"

#include <cstdint>

namespace cyclamenhold
{

// What is said about a member's state.
struct member_report
{
    host_id host = host_id::none;
    incarnation host_incarnation = 0;
    std::uint32_t refutation = 0;
    data_centre_id data_centre = data_centre_id::none;
    member_state state = member_state::alive;
};

// Whether a member takes part: alive, or suspected and not yet judged.
[[nodiscard]] constexpr bool is_present(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

[[nodiscard]] member_report report_of(const member& known);

// What this node says about itself.
[[nodiscard]] member_report own_report(const membership_state& state);

// Takes in a report if it is newer than what is known. About this node itself,
// a report that is wrong is refuted. True when anything changed.
bool merge_report(
    membership_state& state, const member_report& report, time_point now,
    control_actions& actions);

// Takes in a report together with the member's upstream.
bool merge_record(
    membership_state& state, const member_report& report,
    const upstream_record& upstream, time_point now, control_actions& actions);

// Notes that a message came from the member itself.
void record_contact(
    membership_state& state, host_id host, std::uint64_t revision,
    time_point now);

// Declares members dead whose suspicion was not refuted in time.
void expire_suspects(
    membership_state& state, time_point now, control_actions& actions);

// Forgets members that have been dead or gone for long.
void expire_tombstones(membership_state& state, time_point now);

// Puts a member, or this node itself, among the news to spread.
void queue_update(
    membership_state& state, host_id host, bool includes_upstream);

// Brings `state.targets` up to date with the table.
void refresh_targets(membership_state& state);

// The buckets that the two digests differ in are those to exchange.
[[nodiscard]] std::size_t digest_bucket_of(host_id host);
[[nodiscard]] std::array<std::uint32_t, digest_bucket_count>
digest_with_self(const membership_state& state);

} // namespace cyclamenhold
