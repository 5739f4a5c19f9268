// Documents that nodes pull from each other.
#pragma once

#include "core/configuration/chain_format.hpp"
#include "core/configuration/document_source.hpp"

namespace cyclamenhold
{

// Requests the highest version that a member has reported, if it is newer than
// the current one.
void pull_if_behind(
    document_state& state, const chain_state& chain,
    const membership_state& members, time_point now, control_actions& actions);

// Sends the current document to a host that has an older version.
void answer_pull(
    const document_state& state, const chain_state& chain, host_id to,
    std::uint64_t after, control_actions& actions);

// Collects the parts of a pulled document and applies it when it is complete.
void handle_snapshot_part(
    document_state& state, chain_state& chain, host_id from,
    const chain_message& message, time_point now, control_actions& actions);

} // namespace cyclamenhold
