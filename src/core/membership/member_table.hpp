// The table of members: merges reports about members and records the effects.
// Reports about a member are ordered by incarnation, then refutation, then
// state (alive < suspect < dead < left), so that all nodes converge to the same
// one whatever the order of arrival.
#pragma once

#include "core/membership/membership.hpp"

#include <cstdint>

namespace cyclamenhold
{

// A report of a member's state.
struct member_status_report
{
    host_id host = host_id::none;
    incarnation host_incarnation = 0;
    std::uint32_t refutation = 0;
    data_centre_id data_centre = data_centre_id::none;
    member_state state = member_state::alive;
};

// Whether a member is part of the fleet: alive, or suspected with the suspicion
// timer still running.
[[nodiscard]] constexpr bool is_present(member_state state)
{
    return state == member_state::alive || state == member_state::suspect;
}

[[nodiscard]] member_status_report report_of(const member& known);

// The report of this node about itself.
[[nodiscard]] member_status_report own_report(const membership_state& state);

// Applies a report if it is newer than the member's entry. A wrong report about
// this node is refuted. Returns true if anything changed.
bool merge_report(
    membership_state& state, const member_status_report& report, time_point now,
    control_actions& actions);

// Merges a report and the member's upstream. Returns true if anything changed.
bool merge_record(
    membership_state& state, const member_status_report& report,
    const upstream_record& upstream, time_point now, control_actions& actions);

// Records a message received from the member itself, and the configuration
// revision it reported.
void record_contact(
    membership_state& state, host_id host, std::uint64_t revision,
    time_point now);

// Declares members dead whose suspicion was not refuted before its deadline.
void expire_suspects(
    membership_state& state, time_point now, control_actions& actions);

// Deletes members that have been dead or departed for `tombstone_retention`.
void expire_tombstones(membership_state& state, time_point now);

// Queues an update about a member, or about this node, for gossip.
void queue_update(
    membership_state& state, host_id host, bool includes_upstream);

// Rebuilds `state.targets` if the table has changed.
void refresh_targets(membership_state& state);

// The bucket of a host in the digest. Two members exchange the buckets in which
// their digests differ.
[[nodiscard]] std::size_t digest_bucket_of(host_id host);
[[nodiscard]] std::array<std::uint32_t, digest_bucket_count>
digest_with_self(const membership_state& state);

} // namespace cyclamenhold
