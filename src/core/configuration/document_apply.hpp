// Putting a document in force, whether it comes from the platform or from
// another node.
#pragma once

#include "core/configuration/document_source.hpp"

namespace cyclamenhold
{

// Applies a document if it is newer than the current one. Returns false if it
// fails to parse.
bool apply_document(
    document_state& state, chain_state& chain, std::string_view text,
    const std::string& from, time_point now, control_actions& actions);

} // namespace cyclamenhold
