// The command line of a stand-in upstream.
#pragma once

#include "upstream_settings.hpp"

#include <string>

namespace cyclamenhold
{

struct command_line
{
    upstream_settings settings;
    // Help or version text; when not empty, it is printed and nothing runs.
    std::string text;
    // Every error in the arguments.
    findings found;
};

[[nodiscard]] command_line parse_command_line(int argc, char** argv);

} // namespace cyclamenhold
