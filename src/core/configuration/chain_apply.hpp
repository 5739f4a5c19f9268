// Applies accepted changes and snapshots. A change is applied only if it is
// well-formed and directly follows the current revision; the revision never
// decreases.
#pragma once

#include "core/configuration/chain_format.hpp"

namespace cyclamenhold
{

enum class apply_result : std::uint8_t
{
    applied,
    // The current revision is the same or newer.
    already_applied,
    // Changes between the current revision and this one are missing.
    gap,
    rejected
};

apply_result apply_change(
    chain_state& state, const chain_change& change, time_point now,
    control_actions& actions);

// Replaces the current configuration by a snapshot if that is newer. `text` is
// the JSON of the whole configuration.
apply_result apply_snapshot(
    chain_state& state, const snapshot_head& head, const std::string& text,
    time_point now, control_actions& actions);

// Adds a part; returns true when the snapshot is complete.
[[nodiscard]] bool add_snapshot_part(
    incoming_snapshot& snapshot, std::uint32_t part, std::string bytes);
[[nodiscard]] std::string join_parts(const incoming_snapshot& snapshot);

// Returns the recent change with this operation id, or null.
[[nodiscard]] const chain_change*
find_operation(const chain_state& state, const std::string& operation_id);

// For instance "revision 7: put-workspace a".
[[nodiscard]] std::string describe_change(const chain_change& change);

} // namespace cyclamenhold
