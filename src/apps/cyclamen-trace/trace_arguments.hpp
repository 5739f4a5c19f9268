// The command line of cyclamen-trace.
#pragma once

#include "core/base/findings.hpp"
#include "core/base/ip_endpoint.hpp"
#include "core/base/time.hpp"
#include "core/events/event_ring.hpp"

#include <string>
#include <vector>

namespace cyclamenhold
{

struct trace_arguments
{
    // Operators' endpoints of nodes.
    std::vector<ip_endpoint> nodes;
    // Also read the members that the status of these nodes lists.
    bool discover = true;
    std::string credential_file;
    duration timeout = 5s;
    bool json = false;
    event_query query;
    // The name of the workspace in `query`; empty for all workspaces.
    std::string workspace;
};

struct trace_arguments_result
{
    // The help or version text. If not empty, it is printed and nothing runs.
    std::string text;
    trace_arguments arguments;
    findings found;
};

// Parses the command line `words`, without the program's name. `wall_ms` is the
// current wall time; relative times are counted back from it.
[[nodiscard]] trace_arguments_result parse_trace_arguments(
    const std::vector<std::string>& words, std::uint64_t wall_ms);

// Parses a UTC time like "2026-12-04T09:30:00Z", with or without milliseconds,
// or a number of seconds before `wall_ms` such as "-90". Returns milliseconds
// since the Unix epoch; nullopt for any other text.
[[nodiscard]] std::optional<std::uint64_t>
parse_wall_time(const std::string& text, std::uint64_t wall_ms);

} // namespace cyclamenhold
