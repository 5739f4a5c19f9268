#include "ctl_arguments.hpp"

#include <algorithm>
#include <optional>

#include <cxxopts.hpp>

namespace cyclamenhold
{
namespace
{

constexpr std::string_view usage = R"(Commands:
  plan FILE              plan the operations in a JSON file
  confirm PLAN|FILE      put a plan in force
  show                   the configuration
  status                 the state of the fleet as reported by the node
  key add ID             create a key for --workspace; needs --fleet-secret-file
  key withdraw ID        withdraw a key
  workspace put NAME     with --rate and --burst
  workspace remove NAME
  route put NAME         with --path-prefix, --service and further options
  route remove NAME
  data-centre put NAME   with --region and --weight
  drain                  stop the node gracefully

A change is planned and printed; it takes effect only when the plan is
confirmed, or at once with --yes.

Exit status: 0 done, 1 refused or in conflict, 2 bad usage, 3 no answer.
)";

// Whether a command has a subject, and its options besides the common ones.
struct command_rule
{
    ctl_command command;
    bool has_subject;
    std::vector<std::string_view> required;
    std::vector<std::string_view> optional;
};

const std::vector<command_rule>& command_rules()
{
    static const std::vector<command_rule> rules{
        {ctl_command::plan, true, {}, {"yes"}},
        {ctl_command::confirm, true, {}, {}},
        {ctl_command::show, false, {}, {}},
        {ctl_command::status, false, {}, {}},
        {ctl_command::key_add,
         true,
         {"workspace", "fleet-secret-file"},
         {"yes"}},
        {ctl_command::key_withdraw, true, {}, {"yes"}},
        {ctl_command::workspace_put, true, {"rate", "burst"}, {"yes"}},
        {ctl_command::workspace_remove, true, {}, {"yes"}},
        {ctl_command::route_put,
         true,
         {"path-prefix", "service"},
         {"yes", "method", "priority", "open", "never-repeat",
          "retry-allowance", "deadline-ms"}},
        {ctl_command::route_remove, true, {}, {"yes"}},
        {ctl_command::data_centre_put, true, {"region"}, {"yes", "weight"}},
        {ctl_command::drain, false, {}, {}}};
    return rules;
}

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "cyclamen-ctl", "Operators' command line of cyclamenhold");
    options.positional_help("COMMAND");
    auto add = options.add_options();
    add("node", "Operators' endpoint of any node",
        cxxopts::value<std::string>()->default_value("127.0.0.1:7300"),
        "IPv4:PORT");
    add("credential-file", "File with the operators' credential",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    add("fleet-secret-file", "File with the fleet secret, for new keys",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    add("timeout-ms", "Time to wait for the node",
        cxxopts::value<std::uint32_t>()->default_value("10000"), "MS");
    add("json", "Print the node's answer as JSON");
    add("yes", "Confirm the plan at once");
    add("workspace", "Workspace of a new key",
        cxxopts::value<std::string>()->default_value(""), "NAME");
    add("rate", "Requests a second over the whole fleet",
        cxxopts::value<double>()->default_value("0"), "N");
    add("burst", "Size of the token bucket in requests",
        cxxopts::value<double>()->default_value("0"), "N");
    add("path-prefix", "Paths of a route",
        cxxopts::value<std::string>()->default_value(""), "PATH");
    add("method", "Method of a route; any method if absent",
        cxxopts::value<std::string>()->default_value(""), "METHOD");
    add("service", "Service of a route",
        cxxopts::value<std::string>()->default_value(""), "NAME");
    add("priority", "critical, high, normal or low",
        cxxopts::value<std::string>()->default_value("normal"), "CLASS");
    add("open", "Requests of the route need no key");
    add("never-repeat", "Requests reach an upstream at most once");
    add("retry-allowance",
        "Retries allowed for a request and all its child calls",
        cxxopts::value<std::uint16_t>()->default_value("2"), "N");
    add("deadline-ms", "Deadline of a request",
        cxxopts::value<std::uint32_t>()->default_value("5000"), "MS");
    add("region", "Region of a data centre",
        cxxopts::value<std::string>()->default_value(""), "NAME");
    add("weight", "Share of a data centre in all rates",
        cxxopts::value<double>()->default_value("1"), "N");
    add("version", "Print the version");
    add("help", "Print this text");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    return options;
}

const command_rule* find_rule(ctl_command command)
{
    const auto& rules = command_rules();
    const auto rule = std::ranges::find(rules, command, &command_rule::command);
    return rule == rules.end() ? nullptr : &*rule;
}

bool has_word(const std::vector<std::string_view>& words, std::string_view word)
{
    return std::ranges::find(words, word) != words.end();
}

// Adds a finding for each option that the command does not have and for each
// required option that is missing.
void check_options(
    const command_rule& rule, const cxxopts::ParseResult& parsed,
    findings& found)
{
    constexpr std::array<std::string_view, 5> common{
        "node", "credential-file", "timeout-ms", "json", "words"};
    for (const auto& option : parsed.arguments())
    {
        const std::string& name = option.key();
        const bool known = std::ranges::find(common, name) != common.end() ||
                           has_word(rule.required, name) ||
                           has_word(rule.optional, name);
        if (!known)
        {
            add_finding(
                found, "--" + name,
                "is not an option of " + std::string(name_of(rule.command)));
        }
    }
    for (const std::string_view name : rule.required)
    {
        if (parsed.count(std::string(name)) == 0)
        {
            add_finding(found, "--" + std::string(name), "is missing");
        }
    }
}

// Splits the words into a command of one or two words and its subject. Returns
// null for an unknown command.
const command_rule* read_command(
    const std::vector<std::string>& words, ctl_arguments& arguments,
    findings& found)
{
    std::optional<ctl_command> command;
    std::size_t used = 0;
    for (std::size_t size = 1; size <= std::min<std::size_t>(2, words.size());
         ++size)
    {
        std::string name = words[0];
        if (size == 2)
        {
            name += ' ' + words[1];
        }
        if (const auto match = value_named<ctl_command>(name))
        {
            command = match;
            used = size;
        }
    }
    if (!command)
    {
        add_finding(found, "COMMAND", "is unknown; --help lists the commands");
        return nullptr;
    }
    arguments.command = *command;
    const command_rule* const rule = find_rule(*command);
    const std::size_t expected = used + (rule->has_subject ? 1 : 0);
    if (words.size() != expected)
    {
        add_finding(
            found, std::string(name_of(*command)),
            rule->has_subject ? "takes exactly one argument"
                              : "takes no argument");
        return rule;
    }
    if (rule->has_subject)
    {
        arguments.subject = words.back();
    }
    return rule;
}

void read_values(
    const cxxopts::ParseResult& parsed, ctl_arguments& arguments,
    findings& found)
{
    const auto text = [&parsed](const char* name)
    {
        return parsed[name].as<std::string>();
    };
    if (const auto node = parse_ip_endpoint(text("node")))
    {
        arguments.node = *node;
    }
    else
    {
        add_finding(found, "--node", "must be an IPv4 address and a port");
    }
    arguments.credential_file = text("credential-file");
    arguments.fleet_secret_file = text("fleet-secret-file");
    arguments.timeout =
        std::chrono::milliseconds(parsed["timeout-ms"].as<std::uint32_t>());
    arguments.json = parsed.count("json") > 0;
    arguments.yes = parsed.count("yes") > 0;
    arguments.key_workspace = text("workspace");
    arguments.workspace_value = {
        arguments.subject, parsed["rate"].as<double>(),
        parsed["burst"].as<double>()};
    arguments.data_centre_value = {
        arguments.subject, text("region"), parsed["weight"].as<double>()};
}

void read_route(
    const cxxopts::ParseResult& parsed, ctl_arguments& arguments,
    findings& found)
{
    route& value = arguments.route_value;
    value.name = arguments.subject;
    value.method = parsed["method"].as<std::string>();
    value.path_prefix = parsed["path-prefix"].as<std::string>();
    value.service = parsed["service"].as<std::string>();
    value.open = parsed.count("open") > 0;
    value.never_repeat = parsed.count("never-repeat") > 0;
    value.retry_allowance = parsed["retry-allowance"].as<std::uint16_t>();
    value.deadline =
        std::chrono::milliseconds(parsed["deadline-ms"].as<std::uint32_t>());
    const auto name = parsed["priority"].as<std::string>();
    if (const auto priority = value_named<priority_class>(name))
    {
        value.priority = *priority;
        return;
    }
    add_finding(found, "--priority", "must be critical, high, normal or low");
}

std::string help_text(const cxxopts::Options& options)
{
    std::string text = options.help();
    // The positional arguments are described in `usage`.
    if (const auto words = text.find("      --words");
        words != std::string::npos)
    {
        text.erase(words, text.find('\n', words) - words + 1);
    }
    return text + '\n' + std::string(usage);
}

void read_parsed(
    const cxxopts::ParseResult& parsed, ctl_arguments_result& result)
{
    const auto words = parsed.count("words") > 0
                           ? parsed["words"].as<std::vector<std::string>>()
                           : std::vector<std::string>();
    const command_rule* const rule =
        read_command(words, result.arguments, result.found);
    if (rule != nullptr)
    {
        check_options(*rule, parsed, result.found);
    }
    read_values(parsed, result.arguments, result.found);
    read_route(parsed, result.arguments, result.found);
}

} // namespace

ctl_arguments_result parse_ctl_arguments(const std::vector<std::string>& words)
{
    ctl_arguments_result result;
    std::vector<const char*> pointers{"cyclamen-ctl"};
    for (const auto& word : words)
    {
        pointers.push_back(word.c_str());
    }
    auto options = make_options();
    try
    {
        const auto parsed =
            options.parse(static_cast<int>(pointers.size()), pointers.data());
        if (parsed.count("help") > 0 || parsed.count("version") > 0)
        {
            result.outcome = arguments_outcome::print;
            result.text = parsed.count("help") > 0
                              ? help_text(options)
                              : "cyclamen-ctl " CYCLAMEN_VERSION "\n";
            return result;
        }
        read_parsed(parsed, result);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        add_finding(result.found, "command line", error.what());
    }
    if (!result.found.empty())
    {
        result.outcome = arguments_outcome::bad_usage;
    }
    return result;
}

} // namespace cyclamenhold
