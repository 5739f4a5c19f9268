// The command line of a stand-in upstream.
#pragma once

#include "upstream_settings.hpp"

#include <string>

namespace cyclamenhold
{

struct command_line
{
    upstream_settings settings;
    // Printed instead of running when not empty.
    std::string text;
    // All that is wrong with the arguments.
    findings found;
};

[[nodiscard]] command_line parse_command_line(int argc, char** argv);

} // namespace cyclamenhold
