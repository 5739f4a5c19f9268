#include "command_line.hpp"

#include "adapters/files.hpp"

#include <cxxopts.hpp>

namespace cyclamenhold
{
namespace
{

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "cyclamen-load", "Open-loop load and experiments on loopback.");
    const auto text = []
    {
        return cxxopts::value<std::string>()->default_value("");
    };
    const auto real = [](const char* value)
    {
        return cxxopts::value<double>()->default_value(value);
    };
    options.add_options()("scenario", "Scenario file", text())(
        "deployment", "File with defaults for members that the scenario lacks",
        text())(
        "fleet", "File with the endpoints of the running processes",
        text())("check", "Check the files and send nothing")(
        "json", "Print JSON instead of a table")(
        "json-file", "Write the figures as JSON",
        text())("csv", "Write the time line as CSV", text())(
        "svg", "Write the time line as an SVG picture",
        text())("html", "Write a page with picture and table", text())(
        "compare-direct", "Compare latencies: the upstream's endpoint", text())(
        "compare-through", "Compare latencies: the node's endpoint", text())(
        "target", "Path of the compared calls",
        cxxopts::value<std::string>()->default_value("/"))(
        "key", "Key of the compared calls",
        text())("rate", "Compared calls per second", real("1000"))(
        "seconds", "Length of the comparison",
        real("10"))("help", "Print this help")("version", "Print the version");
    options.parse_positional("scenario");
    options.positional_help("SCENARIO");
    return options;
}

std::string read_input(
    const cxxopts::ParseResult& arguments, const char* name, findings& found)
{
    const auto path = arguments[name].as<std::string>();
    if (path.empty())
    {
        add_finding(found, std::string("--") + name, "is missing");
        return {};
    }
    const auto text = read_file(path);
    if (!text.ok())
    {
        add_finding(
            found, std::string("--") + name,
            std::string(text.status().message()));
        return {};
    }
    return *text;
}

// Adds the findings of a file, each with the file's path before its place.
void add_from_file(
    const std::string& path, const findings& inside, findings& found)
{
    for (const auto& [place, message] : inside)
    {
        std::string whole_place = path;
        whole_place += ' ';
        whole_place += place;
        add_finding(found, std::move(whole_place), message);
    }
}

void check_keys(load_command& command, const std::string& path)
{
    for (const scenario_workspace& workspace : command.plan.workspaces)
    {
        const auto& keys = command.processes.keys;
        if (!keys.empty() && !keys.contains(workspace.name))
        {
            add_finding(
                command.found, path + " /keys",
                "has no key for " + workspace.name);
        }
    }
}

void read_files(const cxxopts::ParseResult& arguments, load_command& command)
{
    const auto scenario_path = arguments["scenario"].as<std::string>();
    const auto fleet_path = arguments["fleet"].as<std::string>();
    findings inside;
    const std::string plan = read_input(arguments, "scenario", command.found);
    const std::string deployment =
        arguments["deployment"].as<std::string>().empty()
            ? std::string()
            : read_input(arguments, "deployment", command.found);
    if (command.found.empty())
    {
        command.plan = parse_scenario(plan, deployment, inside);
        add_from_file(scenario_path, inside, command.found);
    }
    if (command.check && fleet_path.empty())
    {
        return;
    }
    const std::size_t before = command.found.size();
    const std::string processes = read_input(arguments, "fleet", command.found);
    if (command.found.size() == before)
    {
        inside.clear();
        command.processes = parse_fleet(processes, inside);
        add_from_file(fleet_path, inside, command.found);
        check_keys(command, fleet_path);
    }
}

void read_comparison(
    const cxxopts::ParseResult& arguments, load_command& command)
{
    comparison_settings settings;
    const auto direct = parse_loopback_endpoint(
        arguments["compare-direct"].as<std::string>(), "--compare-direct",
        command.found);
    const auto through = parse_loopback_endpoint(
        arguments["compare-through"].as<std::string>(), "--compare-through",
        command.found);
    settings.target = arguments["target"].as<std::string>();
    settings.key = arguments["key"].as<std::string>();
    settings.rate = arguments["rate"].as<double>();
    settings.duration_s = arguments["seconds"].as<double>();
    constexpr double max_rate = 100'000.0;
    constexpr double max_duration_s = 600.0;
    if (!(settings.rate > 0.0 && settings.rate <= max_rate))
    {
        add_finding(command.found, "--rate", "must be in (0, 100000]");
    }
    if (!(settings.duration_s > 0.0 && settings.duration_s <= max_duration_s))
    {
        add_finding(command.found, "--seconds", "must be in (0, 600]");
    }
    if (direct && through)
    {
        settings.direct = *direct;
        settings.through = *through;
        command.comparison = settings;
    }
}

void read_arguments(
    const cxxopts::ParseResult& arguments, load_command& command)
{
    command.check = arguments.count("check") != 0;
    command.print_json = arguments.count("json") != 0;
    command.json_file = arguments["json-file"].as<std::string>();
    command.csv_file = arguments["csv"].as<std::string>();
    command.svg_file = arguments["svg"].as<std::string>();
    command.html_file = arguments["html"].as<std::string>();
    if (arguments.count("compare-direct") != 0 ||
        arguments.count("compare-through") != 0)
    {
        read_comparison(arguments, command);
        return;
    }
    read_files(arguments, command);
}

} // namespace

load_command parse_load_command(int argc, char** argv)
{
    load_command command;
    cxxopts::Options options = make_options();
    try
    {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0)
        {
            command.text = options.help();
        }
        else if (arguments.count("version") != 0)
        {
            command.text = "cyclamen-load " CYCLAMEN_VERSION "\n";
        }
        else
        {
            read_arguments(arguments, command);
        }
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        add_finding(command.found, "command line", error.what());
    }
    return command;
}

} // namespace cyclamenhold
