// Open-loop load and experiments against processes on loopback.
#include "caller.hpp"
#include "command_line.hpp"
#include "standin_control.hpp"

#include "adapters/clock.hpp"
#include "experiment/plot.hpp"
#include "experiment/report.hpp"

#include <fstream>
#include <iostream>
#include <thread>

namespace cyclamenhold
{
namespace
{

constexpr int exit_failure = 1;
constexpr int exit_bad_input = 2;
// Time for all threads to start before the first call.
constexpr auto start_delay = 200ms;

bool write_file(const std::string& path, const std::string& text)
{
    if (path.empty())
    {
        return true;
    }
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    if (!file)
    {
        std::cerr << path << ": cannot be written\n";
        return false;
    }
    return true;
}

experiment_figures run_scenario(const load_command& command)
{
    const auto arrivals = make_arrivals(command.plan);
    const auto before = read_service_counts(command.processes);
    const time_point start = now() + start_delay;
    std::thread triggers(
        [&]
        {
            run_triggers(command.plan, command.processes, start);
        });
    const auto records =
        send_calls(command.plan, command.processes, arrivals, start);
    triggers.join();
    const auto after = read_service_counts(command.processes);
    return compute_figures(
        command.plan, records, counts_between(before, after));
}

int run(const load_command& command)
{
    if (command.check)
    {
        return 0;
    }
    if (command.comparison)
    {
        const auto figures = compare_latency(*command.comparison);
        std::cout << to_json(*command.comparison, figures) << '\n';
        return 0;
    }
    const auto figures = run_scenario(command);
    const std::string json = to_json(command.plan, figures);
    std::cout
        << (command.print_json ? json + "\n" : to_table(command.plan, figures));
    bool written = write_file(command.json_file, json + "\n");
    written &= write_file(command.csv_file, to_csv(figures));
    written &= write_file(command.svg_file, to_svg(command.plan, figures));
    written &= write_file(command.html_file, to_html(command.plan, figures));
    return written ? 0 : exit_failure;
}

} // namespace
} // namespace cyclamenhold

int main(int argc, char** argv)
{
    const auto command = cyclamenhold::parse_load_command(argc, argv);
    if (!command.found.empty())
    {
        std::cerr << to_string(command.found);
        return cyclamenhold::exit_bad_input;
    }
    if (!command.text.empty())
    {
        std::cout << command.text;
        return 0;
    }
    return cyclamenhold::run(command);
}
