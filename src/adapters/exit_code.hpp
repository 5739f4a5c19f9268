// What the command line tools return to the shell.
#pragma once

namespace cyclamenhold
{

enum class exit_code : int
{
    success = 0,
    // The system refused, or another change came first.
    refused = 1,
    bad_usage = 2,
    // No node answered; a change may or may not be in force.
    not_reached = 3
};

} // namespace cyclamenhold
