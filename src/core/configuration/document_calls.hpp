// The calls by which a node reads and watches the document in the platform:
// their time limits and the pauses after failures.
#pragma once

#include "core/configuration/document_source.hpp"

namespace cyclamenhold
{

constexpr duration shortest_document_backoff = 100ms;

// Reads the document, or watches it if it has been read. After a failed call
// the watch is short: it shows soon whether the platform answers again, without
// reading the whole document.
void start_document_call(
    document_state& state, time_point now, control_actions& actions);

// Ends a series of failures.
void record_document_answer(
    document_state& state, const platform_reply& reply, time_point now);

// Counts a failure and sets the time of the next call.
void schedule_retry(
    document_state& state, time_point now, random_source& random);

} // namespace cyclamenhold
