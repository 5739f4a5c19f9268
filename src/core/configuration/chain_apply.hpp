// Takes accepted changes into force: in order, only forward, and only when
// they can be read and follow from what is in force.
#pragma once

#include "core/configuration/chain_format.hpp"

namespace cyclamenhold
{

enum class apply_result : std::uint8_t
{
    applied,
    // In force already.
    already_applied,
    // Changes before it are missing.
    gap,
    rejected
};

apply_result apply_change(
    chain_state& state, const chain_change& change, time_point now,
    control_actions& actions);

// Takes a whole configuration into force, when it is newer. `text` is its
// JSON.
apply_result apply_snapshot(
    chain_state& state, const snapshot_head& head, const std::string& text,
    time_point now, control_actions& actions);

// Adds a part; true when the snapshot is whole.
[[nodiscard]] bool add_snapshot_part(
    incoming_snapshot& snapshot, std::uint32_t part, std::string bytes);
[[nodiscard]] std::string join_parts(const incoming_snapshot& snapshot);

// The recent change with this operation id, if there is one.
[[nodiscard]] const chain_change*
find_operation(const chain_state& state, const std::string& operation_id);

// "revision 7: put-workspace a".
[[nodiscard]] std::string describe_change(const chain_change& change);

} // namespace cyclamenhold
