// Stand-in for one upstream worker, for tests and experiments.
#include "announcer.hpp"
#include "command_line.hpp"
#include "control_port.hpp"
#include "upstream_server.hpp"

#include "adapters/json_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <iostream>

namespace cyclamenhold
{
namespace
{

constexpr int exit_failure = 1;
constexpr int exit_bad_input = 2;

int run(const upstream_settings& settings)
{
    namespace asio = boost::asio;
    asio::io_context context(1);
    const auto upstream = std::make_shared<upstream_state>(context, settings);
    const auto listening = start_upstream_server(upstream);
    const auto control = start_control_port(upstream);
    if (!listening.ok() || !control.ok())
    {
        std::cerr << (listening.ok() ? control : listening).status().message()
                  << '\n';
        return exit_failure;
    }
    std::cout << R"({"listening":")" << to_string(*listening)
              << R"(","control":")" << to_string(*control) << "\"}"
              << std::endl;
    asio::co_spawn(
        context, announce_upstream(upstream, *listening), asio::detached);
    run_until_signal(
        context,
        [&]
        {
            asio::co_spawn(
                context, stop_upstream(upstream, *listening), asio::detached);
        });
    return 0;
}

} // namespace
} // namespace cyclamenhold

int main(int argc, char** argv)
{
    const auto line = cyclamenhold::parse_command_line(argc, argv);
    if (!line.found.empty())
    {
        std::cerr << to_string(line.found);
        return cyclamenhold::exit_bad_input;
    }
    if (!line.text.empty())
    {
        std::cout << line.text;
        return 0;
    }
    return cyclamenhold::run(line.settings);
}
