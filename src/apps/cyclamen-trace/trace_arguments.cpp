#include "trace_arguments.hpp"

#include "adapters/settings.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>

#include <cxxopts.hpp>

namespace cyclamenhold
{
namespace
{

constexpr std::string_view usage = R"(
Times are like 2026-12-04T09:30:00Z, or seconds before now like -90.
Nodes are given by --node or by their --settings files. Further nodes are read
from the status of those.

Exit status: 0 all nodes answered, 1 some did not, 2 bad usage, 3 none did.
)";

using text_list = std::vector<std::string>;

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "cyclamen-trace", "Merges the events of all nodes into one time line");
    auto add = options.add_options();
    add("node", "Operators' endpoint of a node; may be repeated",
        cxxopts::value<text_list>(), "IPv4:PORT,...");
    add("settings", "Settings file of a node; may be repeated",
        cxxopts::value<text_list>(), "FILE,...");
    add("no-discover", "Read only the given nodes");
    add("credential-file", "File with the operators' credential",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    add("timeout-ms", "Time to wait for a node",
        cxxopts::value<std::uint32_t>()->default_value("5000"), "MS");
    add("trace", "Only events of this root request",
        cxxopts::value<std::string>(), "ID");
    add("workspace", "Only events of this workspace",
        cxxopts::value<std::string>(), "NAME");
    add("since", "Only events after this time", cxxopts::value<std::string>(),
        "TIME");
    add("until", "Only events up to this time", cxxopts::value<std::string>(),
        "TIME");
    add("json", "Print JSON instead of text");
    add("version", "Print the version");
    add("help", "Print this text");
    return options;
}

text_list list_of(const cxxopts::ParseResult& parsed, const std::string& name)
{
    return parsed.count(name) > 0 ? parsed[name].as<text_list>() : text_list();
}

void add_node(trace_arguments& arguments, const ip_endpoint& node)
{
    if (std::ranges::find(arguments.nodes, node) == arguments.nodes.end())
    {
        arguments.nodes.push_back(node);
    }
}

void read_nodes(
    const cxxopts::ParseResult& parsed, trace_arguments& arguments,
    findings& found)
{
    for (const auto& text : list_of(parsed, "node"))
    {
        if (const auto node = parse_ip_endpoint(text))
        {
            add_node(arguments, *node);
        }
        else
        {
            add_finding(
                found, "--node",
                '"' + text + "\" is not an IPv4 address and a port");
        }
    }
    for (const auto& path : list_of(parsed, "settings"))
    {
        const auto [settings, settings_found] = load_settings(path);
        if (settings_found.empty())
        {
            add_node(arguments, settings.listen.operators);
        }
        for (const auto& [place, message] : settings_found)
        {
            add_finding(
                found, std::string(path).append(" ").append(place), message);
        }
    }
    if (arguments.nodes.empty() && found.empty())
    {
        add_finding(found, "--node", "is required unless --settings is given");
    }
}

void read_filters(
    const cxxopts::ParseResult& parsed, std::uint64_t wall_ms,
    trace_arguments& arguments, findings& found)
{
    event_query& query = arguments.query;
    if (parsed.count("trace") > 0)
    {
        query.trace = parse_trace_id(parsed["trace"].as<std::string>());
        if (!query.trace)
        {
            add_finding(found, "--trace", "must be 32 hexadecimal digits");
        }
    }
    if (parsed.count("workspace") > 0)
    {
        arguments.workspace = parsed["workspace"].as<std::string>();
        query.workspace = workspace_id_of(arguments.workspace);
    }
    const auto read_time = [&](const char* name, auto& member)
    {
        if (parsed.count(name) == 0)
        {
            return;
        }
        const auto time =
            parse_wall_time(parsed[name].as<std::string>(), wall_ms);
        if (!time)
        {
            add_finding(
                found, std::string("--") + name,
                "must be a time like 2026-12-04T09:30:00Z or -90");
            return;
        }
        member = make_hybrid_time(*time);
    };
    read_time("since", query.since);
    read_time("until", query.until);
}

} // namespace

std::optional<std::uint64_t>
parse_wall_time(const std::string& text, std::uint64_t wall_ms)
{
    using namespace std::chrono;
    constexpr std::uint64_t milliseconds_per_second = 1000;
    int position = 0;
    const auto is_fully_parsed = [&]
    {
        return static_cast<std::size_t>(position) == text.size();
    };
    unsigned seconds_ago = 0;
    if (std::sscanf(text.c_str(), "-%9u%n", &seconds_ago, &position) == 1 &&
        is_fully_parsed())
    {
        const std::uint64_t ago = seconds_ago * milliseconds_per_second;
        return ago < wall_ms ? wall_ms - ago : 0;
    }
    int year_number = 0;
    unsigned month_number = 0;
    unsigned day_number = 0;
    unsigned hour_number = 0;
    unsigned minute_number = 0;
    double second_number = 0;
    position = 0;
    const int fields = std::sscanf(
        text.c_str(), "%4d-%2u-%2uT%2u:%2u:%lfZ%n", &year_number, &month_number,
        &day_number, &hour_number, &minute_number, &second_number, &position);
    const year_month_day date{
        year(year_number), month(month_number), day(day_number)};
    constexpr int all_fields = 6;
    if (fields != all_fields || !is_fully_parsed() || !date.ok() ||
        hour_number > 23 || minute_number > 59 || !(second_number >= 0) ||
        second_number >= 60)
    {
        return std::nullopt;
    }
    const auto time =
        sys_days(date) + hours(hour_number) + minutes(minute_number) +
        round<milliseconds>(std::chrono::duration<double>(second_number));
    const auto count =
        duration_cast<milliseconds>(time.time_since_epoch()).count();
    return count < 0 ? std::nullopt
                     : std::optional(static_cast<std::uint64_t>(count));
}

trace_arguments_result parse_trace_arguments(
    const std::vector<std::string>& words, std::uint64_t wall_ms)
{
    trace_arguments_result result;
    std::vector<const char*> pointers{"cyclamen-trace"};
    for (const auto& word : words)
    {
        pointers.push_back(word.c_str());
    }
    auto options = make_options();
    try
    {
        const auto parsed =
            options.parse(static_cast<int>(pointers.size()), pointers.data());
        if (parsed.count("help") > 0)
        {
            result.text = options.help() + std::string(usage);
            return result;
        }
        if (parsed.count("version") > 0)
        {
            result.text = "cyclamen-trace " CYCLAMEN_VERSION "\n";
            return result;
        }
        trace_arguments& arguments = result.arguments;
        for (const auto& word : parsed.unmatched())
        {
            add_finding(result.found, word, "is not an option");
        }
        arguments.discover = parsed.count("no-discover") == 0;
        arguments.json = parsed.count("json") > 0;
        arguments.credential_file = parsed["credential-file"].as<std::string>();
        arguments.timeout =
            std::chrono::milliseconds(parsed["timeout-ms"].as<std::uint32_t>());
        read_nodes(parsed, arguments, result.found);
        read_filters(parsed, wall_ms, arguments, result.found);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        add_finding(result.found, "command line", error.what());
    }
    return result;
}

} // namespace cyclamenhold
