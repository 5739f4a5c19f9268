#include "core/request/refusal_inputs.hpp"

#include <absl/strings/str_format.h>

namespace cyclamenhold
{

std::string version_inputs(const request_tables& tables)
{
    return absl::StrFormat("version %d", tables.revision);
}

std::string
stale_key_inputs(const request_tables& tables, duration since_expiry)
{
    return absl::StrFormat(
        "version %d, keys stale for %.3f s", tables.revision,
        to_seconds(since_expiry));
}

std::string rate_inputs(
    const request_tables& tables, std::string_view workspace,
    const token_answer& answer)
{
    if (answer.level.is_pooled)
    {
        return absl::StrFormat(
            "version %d, workspace %s, the pool of the data centre has no "
            "token for %d ms",
            tables.revision, workspace, to_milliseconds(answer.retry_after));
    }
    return absl::StrFormat(
        "version %d, workspace %s, this host's share %.2f/s, %.2f of %.2f "
        "tokens",
        tables.revision, workspace, answer.level.rate, answer.level.tokens,
        answer.level.capacity);
}

std::string throttle_inputs(std::string_view route, const throttle_state& state)
{
    return absl::StrFormat(
        "route %s, admitted share %.2f, failed share %.2f of %.1f ended", route,
        state.admitted_share,
        state.ended <= 0.0 ? 0.0 : state.failed / state.ended, state.ended);
}

std::string choice_inputs(const routing_choice& choice, std::size_t tried)
{
    return absl::StrFormat(
        "%d upstreams known, %d usable, %d tried, %d where the request may not "
        "run",
        choice.known, choice.usable, tried, choice.excluded);
}

} // namespace cyclamenhold
