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
    // Ask each node for the operators' endpoints of others, too.
    bool discover = true;
    std::string credential_file;
    duration timeout = 5s;
    bool json = false;
    event_query query;
    // The name behind the query's workspace.
    std::string workspace;
};

struct trace_arguments_result
{
    // The answer to --help or --version; then nothing is to be run.
    std::string text;
    trace_arguments arguments;
    findings found;
};

// Reads the words after the program's name. `wall_ms` is the present, for
// intervals that are given relative to it.
[[nodiscard]] trace_arguments_result parse_trace_arguments(
    const std::vector<std::string>& words, std::uint64_t wall_ms);

// Reads "2026-12-04T09:30:00Z", with or without milliseconds, or a number of
// seconds before `wall_ms` such as "-90".
[[nodiscard]] std::optional<std::uint64_t>
parse_wall_time(const std::string& text, std::uint64_t wall_ms);

} // namespace cyclamenhold
