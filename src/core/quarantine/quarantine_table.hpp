// The tables of suspects and quarantined requests, bounded in size.
#pragma once

#include "core/quarantine/quarantine.hpp"

#include <string_view>

namespace cyclamenhold
{

// Quarantines a request until `until`, if it is not yet; `source` names where
// this node has it from. Returns whether it was not.
bool quarantine_digest(
    quarantine_state& state, std::uint64_t digest, time_point until,
    std::string_view source, control_actions& actions);

// Adds the crash to those of the suspect, which stays one until `until` at
// least if the crash is new. Quarantines it if there are enough, and returns
// whether it did.
bool add_suspect(
    quarantine_state& state, const upstream_incarnation& crash,
    std::uint64_t digest, time_point until, time_point now,
    control_actions& actions);

} // namespace cyclamenhold
