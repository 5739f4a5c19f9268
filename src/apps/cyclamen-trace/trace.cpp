#include "trace.hpp"

#include "collect_events.hpp"
#include "time_line_text.hpp"
#include "trace_arguments.hpp"

#include "adapters/clock.hpp"
#include "adapters/json_text.hpp"
#include "adapters/secrets.hpp"
#include "core/events/time_line.hpp"

#include <algorithm>
#include <ostream>

namespace cyclamenhold
{
namespace
{

exit_code exit_code_of(const std::vector<node_events>& nodes)
{
    const auto is_missing = [](const node_events& node)
    {
        return node.missing;
    };
    const auto has_problem = [](const node_events& node)
    {
        return !node.problem.empty();
    };
    if (std::ranges::all_of(nodes, is_missing))
    {
        return exit_code::not_reached;
    }
    return std::ranges::any_of(nodes, has_problem) ? exit_code::refused
                                                   : exit_code::success;
}

void print_problems(std::ostream& errors, const std::vector<node_events>& nodes)
{
    for (const auto& [node, problem, missing, page] : nodes)
    {
        if (!problem.empty())
        {
            errors << (missing ? "missing: " : "incomplete: ")
                   << to_string(node) << ": " << printable(problem) << '\n';
        }
        if (page.overwritten > 0)
        {
            errors << "note: " << to_string(node) << " has overwritten "
                   << page.overwritten << " older events\n";
        }
    }
}

} // namespace

exit_code run_trace(
    const std::vector<std::string>& words, std::ostream& out,
    std::ostream& errors)
{
    const auto [text, arguments, found] =
        parse_trace_arguments(words, wall_clock_ms());
    if (!found.empty())
    {
        errors << to_string(found);
        return exit_code::bad_usage;
    }
    if (!text.empty())
    {
        out << text;
        return exit_code::success;
    }
    operators_access access{"", arguments.timeout};
    if (!arguments.credential_file.empty())
    {
        findings secret_found;
        access.credential = resolve_secret(
            "", arguments.credential_file, "--credential", secret_found);
        if (!secret_found.empty())
        {
            errors << to_string(secret_found);
            return exit_code::bad_usage;
        }
    }
    const auto nodes = collect_events(arguments, access);
    std::vector<std::vector<event_record>> inputs;
    inputs.reserve(nodes.size());
    for (const auto& node : nodes)
    {
        inputs.push_back(node.page.records);
    }
    const auto line = merge_time_line(std::move(inputs), arguments.query);
    out
        << (arguments.json ? time_line_json(line, nodes)
                           : time_line_text(line, nodes));
    print_problems(errors, nodes);
    return exit_code_of(nodes);
}

} // namespace cyclamenhold
