#include "command_line.hpp"

#include "adapters/json_server.hpp"

#include <cxxopts.hpp>

namespace cyclamenhold
{
namespace
{

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "cyclamen-standin-upstream", "Stand-in for one upstream worker.");
    const auto text = [](const char* value)
    {
        return cxxopts::value<std::string>()->default_value(value);
    };
    const auto number = [](const char* value)
    {
        return cxxopts::value<std::uint64_t>()->default_value(value);
    };
    const auto real = [](const char* value)
    {
        return cxxopts::value<double>()->default_value(value);
    };
    options.add_options()(
        "service", "Service name to announce", text("service"))(
        "listen", "Address and port; port 0 selects a free one",
        text("127.0.0.1:0"))(
        "control", "Address and port of the control port",
        text("127.0.0.1:0"))("node", "Loopback port of its node", text(""))(
        "slots", "Requests processed concurrently", number("100"))(
        "connections", "Maximum of open connections", number("1000"))(
        "queue", "Maximum of requests queued for a slot",
        number("100"))("service-time-ms", "Mean service time", real("20"))(
        "distribution", "fixed, exponential or lognormal", text("lognormal"))(
        "sigma", "Shape of the lognormal distribution", real("0.5"))(
        "cold-factor", "Service time factor at the start", real("1"))(
        "warm-up-ms", "Time until that factor has fallen to 1",
        number("0"))("seed", "Seed of all random numbers", number("1"))(
        "calls", "Paths called for each request, separated by commas",
        text(""))(
        "direct", "PREFIX=ENDPOINT,ENDPOINT;... called without a node",
        text(""))(
        "child-retries", "Retries of direct child calls", number("0"))(
        "child-timeout-ms", "Timeout of one child call", number("2000"))(
        "crash", "Effect of a poisoned request: exit or close", text("exit"))(
        "refuse-ms", "Time that connections are refused after --crash close",
        number("1000"))(
        "stop-ms", "Time limit of a graceful stop", number("5000"))(
        "help", "Print this help")("version", "Print the version");
    return options;
}

boost::asio::ip::tcp::endpoint read_endpoint(
    const cxxopts::ParseResult& arguments, const std::string& name,
    findings& found)
{
    const auto endpoint = parse_endpoint(arguments[name].as<std::string>());
    if (!endpoint.ok())
    {
        add_finding(
            found, "--" + name, std::string(endpoint.status().message()));
        return {};
    }
    return *endpoint;
}

template <class Enum>
Enum read_enum(
    const cxxopts::ParseResult& arguments, const std::string& name,
    findings& found)
{
    const auto value = value_named<Enum>(arguments[name].as<std::string>());
    if (!value)
    {
        add_finding(found, "--" + name, "has an unknown value");
        return Enum{};
    }
    return *value;
}

std::uint64_t read_number(
    const cxxopts::ParseResult& arguments, const std::string& name,
    std::uint64_t minimum, findings& found)
{
    constexpr std::uint64_t maximum = 1'000'000'000;
    const auto value = arguments[name].as<std::uint64_t>();
    if (value < minimum || value > maximum)
    {
        add_finding(
            found, "--" + name,
            "must be between " + std::to_string(minimum) + " and " +
                std::to_string(maximum));
    }
    return value;
}

double read_real(
    const cxxopts::ParseResult& arguments, const std::string& name,
    findings& found)
{
    constexpr double maximum = 1e6;
    const double value = arguments[name].as<double>();
    if (!(value >= 0.0 && value <= maximum))
    {
        add_finding(found, "--" + name, "must be between 0 and 1000000");
        return 0.0;
    }
    return value;
}

duration read_time(
    const cxxopts::ParseResult& arguments, const std::string& name,
    findings& found)
{
    return std::chrono::milliseconds(read_number(arguments, name, 0, found));
}

void read_addresses(
    const cxxopts::ParseResult& arguments, upstream_settings& settings,
    findings& found)
{
    settings.service = arguments["service"].as<std::string>();
    settings.listen = read_endpoint(arguments, "listen", found);
    settings.control = read_endpoint(arguments, "control", found);
    if (!arguments["node"].as<std::string>().empty())
    {
        settings.node = read_endpoint(arguments, "node", found);
    }
    settings.calls = split(arguments["calls"].as<std::string>(), ',');
    settings.direct =
        parse_direct_services(arguments["direct"].as<std::string>(), found);
}

void read_capacity(
    const cxxopts::ParseResult& arguments, upstream_settings& settings,
    findings& found)
{
    settings.slots = read_number(arguments, "slots", 1, found);
    settings.connections = read_number(arguments, "connections", 1, found);
    settings.queue = read_number(arguments, "queue", 0, found);
    settings.service_time =
        from_seconds(read_real(arguments, "service-time-ms", found) / 1000.0);
    settings.distribution =
        read_enum<time_distribution>(arguments, "distribution", found);
    settings.sigma = read_real(arguments, "sigma", found);
    settings.cold_factor = read_real(arguments, "cold-factor", found);
    settings.warm_up = read_time(arguments, "warm-up-ms", found);
    settings.seed = read_number(arguments, "seed", 0, found);
}

void read_behaviour(
    const cxxopts::ParseResult& arguments, upstream_settings& settings,
    findings& found)
{
    settings.child_retries = static_cast<std::uint32_t>(
        read_number(arguments, "child-retries", 0, found));
    settings.child_timeout = read_time(arguments, "child-timeout-ms", found);
    settings.crash = read_enum<crash_kind>(arguments, "crash", found);
    settings.refuse_time = read_time(arguments, "refuse-ms", found);
    settings.stop_time = read_time(arguments, "stop-ms", found);
}

} // namespace

command_line parse_command_line(int argc, char** argv)
{
    command_line line;
    cxxopts::Options options = make_options();
    try
    {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0)
        {
            line.text = options.help();
            return line;
        }
        if (arguments.count("version") != 0)
        {
            line.text = "cyclamen-standin-upstream " CYCLAMEN_VERSION "\n";
            return line;
        }
        read_addresses(arguments, line.settings, line.found);
        read_capacity(arguments, line.settings, line.found);
        read_behaviour(arguments, line.settings, line.found);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        add_finding(line.found, "command line", error.what());
    }
    return line;
}

} // namespace cyclamenhold
