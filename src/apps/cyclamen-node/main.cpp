// The command line of cyclamen-node, the process beside each upstream.
#include "adapters/node_runtime.hpp"
#include "adapters/secrets.hpp"
#include "platform/protocol_profile.hpp"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace
{

using namespace cyclamenhold;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;
// Requests in flight were aborted because the stop took too long.
constexpr int exit_requests_aborted = 3;

std::atomic<int> stop_signals{0};
std::atomic<bool> reload_requested{false};

void on_stop_signal(int /*number*/)
{
    ++stop_signals;
}

void on_reload_signal(int /*number*/)
{
    reload_requested = true;
}

cxxopts::Options make_options()
{
    cxxopts::Options options("cyclamen-node", "The node of an upstream host.");
    options.add_options()("help", "show this text")(
        "version", "show the version")(
        "settings", "the settings file", cxxopts::value<std::string>())(
        "settings-variable",
        "the environment variable with the path of that file",
        cxxopts::value<std::string>())("check", "check the settings and exit");
    return options;
}

void print_ports(const bound_ports& ports)
{
    const boost::json::object line{
        {"callers", to_string(ports.callers)},
        {"upstream", to_string(ports.upstream)},
        {"peers", to_string(ports.peers)},
        {"operators", to_string(ports.operators)}};
    std::cout << boost::json::serialize(line) << std::endl;
}

// Between two checks for signals and operators' stop requests.
constexpr auto request_poll_interval = std::chrono::milliseconds(100);

// Runs until a stop signal or an operator's stop request, then stops the node
// and returns the exit code. A reload signal reads the settings again.
int run_until_stopped(node_runtime& node, const std::string& path)
{
    while (stop_signals == 0 && !stop_requested(node))
    {
        std::this_thread::sleep_for(request_poll_interval);
        if (reload_requested.exchange(false))
        {
            reload_node(node, load_settings(path));
        }
    }
    const int before = stop_signals;
    std::atomic<bool> abort_requests{false};
    std::atomic<bool> stopped{false};
    // A second signal ends the wait for requests in flight.
    std::thread signal_watcher(
        [&]
        {
            while (!stopped && stop_signals <= std::max(before, 1))
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
            abort_requests = true;
        });
    const stop_report report = stop_node(node, abort_requests);
    stopped = true;
    signal_watcher.join();
    if (report.unfinished > 0)
    {
        std::cerr << "stopped with " << report.unfinished
                  << " requests in flight\n";
        return exit_requests_aborted;
    }
    return exit_ok;
}

std::string settings_path(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("settings") > 0)
    {
        return arguments["settings"].as<std::string>();
    }
    if (arguments.count("settings-variable") == 0)
    {
        return {};
    }
    const auto name = arguments["settings-variable"].as<std::string>();
    const char* const path = std::getenv(name.c_str());
    return path == nullptr ? "" : path;
}

int run(const cxxopts::ParseResult& arguments)
{
    auto [settings, found] = load_settings(settings_path(arguments));
    node_secrets secrets;
    if (found.empty())
    {
        secrets.fleet_secret = resolve_secret(
            settings.fleet_secret, settings.fleet_secret_file,
            "/fleet_secret_file", found);
        secrets.operator_credential = resolve_secret(
            settings.operator_credential, settings.operator_credential_file,
            "/operator_credential_file", found);
    }
    if (!found.empty())
    {
        std::cerr << to_string(found);
        return exit_bad_settings;
    }
    if (arguments.count("check") > 0)
    {
        std::cout << "the settings are valid\n";
        return exit_ok;
    }
    json_log log;
    if (const auto status =
            open_log(log, settings.name, settings.log.level, settings.log.file);
        !status.ok())
    {
        std::cerr << status.message() << '\n';
        return exit_failed;
    }
    const protocol_profile profile = profile_of(settings.interface);
    const auto node = start_node(settings, secrets, profile, log);
    if (!node.ok())
    {
        std::cerr << node.status().message() << '\n';
        return exit_failed;
    }
    print_ports(ports_of(**node));
    const int code = run_until_stopped(**node, settings_path(arguments));
    write_log(log, log_level::info, "process-ending", {{"code", code}});
    // All state has been saved. Joining the threads of libraries would delay
    // the start of the next process by the platform.
    std::cout.flush();
    std::quick_exit(code);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGTERM, on_stop_signal);
    std::signal(SIGINT, on_stop_signal);
    std::signal(SIGHUP, on_reload_signal);
    std::signal(SIGPIPE, SIG_IGN);
    auto options = make_options();
    try
    {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            std::cout << options.help();
            return exit_ok;
        }
        if (arguments.count("version") > 0)
        {
            std::cout << "cyclamen-node " CYCLAMEN_VERSION "\n";
            return exit_ok;
        }
        if (settings_path(arguments).empty())
        {
            std::cerr << "--settings FILE is required, or --settings-variable "
                         "NAME of a variable with the path of that file\n";
            return exit_bad_settings;
        }
        return run(arguments);
    }
    catch (const cxxopts::exceptions::exception& problem)
    {
        std::cerr << problem.what() << '\n';
        return exit_bad_settings;
    }
}
