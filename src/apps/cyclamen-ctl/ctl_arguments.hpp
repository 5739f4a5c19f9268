// The command line of cyclamen-ctl.
#pragma once

#include "core/base/findings.hpp"
#include "core/base/ip_endpoint.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/configuration/model.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

enum class ctl_command : std::uint8_t
{
    plan,
    confirm,
    show,
    status,
    key_add,
    key_withdraw,
    workspace_put,
    workspace_remove,
    route_put,
    route_remove,
    data_centre_put,
    drain
};

template <>
struct enum_names<ctl_command>
{
    static constexpr std::array<std::pair<ctl_command, std::string_view>, 12>
        table{
            {{ctl_command::plan, "plan"},
             {ctl_command::confirm, "confirm"},
             {ctl_command::show, "show"},
             {ctl_command::status, "status"},
             {ctl_command::key_add, "key add"},
             {ctl_command::key_withdraw, "key withdraw"},
             {ctl_command::workspace_put, "workspace put"},
             {ctl_command::workspace_remove, "workspace remove"},
             {ctl_command::route_put, "route put"},
             {ctl_command::route_remove, "route remove"},
             {ctl_command::data_centre_put, "data-centre put"},
             {ctl_command::drain, "drain"}}};
};

struct ctl_arguments
{
    ctl_command command = ctl_command::status;
    // The argument of the command: a file, plan, name or id.
    std::string subject;
    ip_endpoint node;
    std::string credential_file;
    std::string fleet_secret_file;
    duration timeout = 10s;
    // Print the reply of the API as JSON instead of text.
    bool json = false;
    // Confirm the plan at once.
    bool yes = false;
    // The entry to put, from the options; its name is `subject`.
    workspace workspace_value;
    route route_value;
    data_centre data_centre_value;
    // The workspace of a new key.
    std::string key_workspace;
};

enum class arguments_outcome : std::uint8_t
{
    run,
    // `text` is the help or version text.
    print,
    bad_usage
};

struct ctl_arguments_result
{
    arguments_outcome outcome = arguments_outcome::run;
    ctl_arguments arguments;
    std::string text;
    findings found;
};

// Parses the command line `words`, without the program's name.
[[nodiscard]] ctl_arguments_result
parse_ctl_arguments(const std::vector<std::string>& words);

} // namespace cyclamenhold
