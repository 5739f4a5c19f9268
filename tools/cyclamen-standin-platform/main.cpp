// Stand-in for the platform's key-value service, for tests and experiments.
#include "platform_server.hpp"

#include "adapters/json_server.hpp"

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

#include <iostream>
#include <string>

namespace cyclamenhold
{
namespace
{

constexpr int exit_failure = 1;
constexpr int exit_bad_input = 2;

int run(const std::string& listen)
{
    const auto endpoint = parse_endpoint(listen);
    if (!endpoint.ok())
    {
        std::cerr << "--listen: " << endpoint.status().message() << '\n';
        return exit_bad_input;
    }
    boost::asio::io_context context(1);
    const auto server = make_platform_server(context.get_executor());
    const auto bound = start_platform_server(server, *endpoint);
    if (!bound.ok())
    {
        std::cerr << bound.status().message() << '\n';
        return exit_failure;
    }
    std::cout << R"({"listening":")" << to_string(*bound) << "\"}" << std::endl;
    run_until_signal(
        context,
        [&]
        {
            context.stop();
        });
    return 0;
}

} // namespace
} // namespace cyclamenhold

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "cyclamen-standin-platform",
        "Stand-in for the platform's key-value service.");
    options.add_options()(
        "listen", "Address and port; port 0 selects a free one",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "help", "Print this help")("version", "Print the version");
    try
    {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0)
        {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("version") != 0)
        {
            std::cout << "cyclamen-standin-platform " CYCLAMEN_VERSION "\n";
            return 0;
        }
        return cyclamenhold::run(arguments["listen"].as<std::string>());
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << error.what() << '\n';
        return cyclamenhold::exit_bad_input;
    }
}
