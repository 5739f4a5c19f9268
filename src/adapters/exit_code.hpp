// Exit codes of the command-line tools.
#pragma once

namespace cyclamenhold
{

enum class exit_code : int
{
    success = 0,
    // The system refused the request, or it conflicts with an earlier change.
    refused = 1,
    bad_usage = 2,
    // No node answered; a change may or may not have been committed.
    not_reached = 3
};

} // namespace cyclamenhold
