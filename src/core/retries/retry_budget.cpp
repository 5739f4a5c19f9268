#include "core/retries/retry_budget.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenhold
{
namespace
{

// Retries earned by each first attempt.
constexpr double retry_share = 0.1;
// Bound and initial value of a workspace's budget, so that small workspaces can
// retry at all.
constexpr double max_tokens = 10.0;
constexpr std::size_t failed_table_size = 4096;
constexpr duration failed_request_age = 10s;

double& tokens_of(retry_budget& budget, workspace_id workspace)
{
    const auto [found, is_new] =
        budget.workspaces.try_emplace(workspace, retry_tokens{max_tokens});
    return found->second.tokens;
}

double& tokens_of(retry_budget& budget, service_id service)
{
    const auto [found, is_new] = budget.services.try_emplace(
        service, retry_tokens{budget.max_service_tokens});
    return found->second.tokens;
}

failed_request& entry_of(retry_budget& budget, std::uint64_t digest)
{
    if (budget.failed.empty())
    {
        budget.failed.resize(failed_table_size);
    }
    return budget.failed[digest % failed_table_size];
}

} // namespace

void record_first_attempt(
    retry_budget& budget, workspace_id workspace, service_id service)
{
    const std::scoped_lock lock(budget.mutex);
    double& tokens = tokens_of(budget, workspace);
    tokens = std::min(max_tokens, tokens + retry_share);
    double& of_service = tokens_of(budget, service);
    of_service = std::min(budget.max_service_tokens, of_service + retry_share);
}

bool take_retry(
    retry_budget& budget, workspace_id workspace, service_id service)
{
    const std::scoped_lock lock(budget.mutex);
    double& tokens = tokens_of(budget, workspace);
    double& of_service = tokens_of(budget, service);
    if (tokens < 1.0 || of_service < 1.0)
    {
        return false;
    }
    tokens -= 1.0;
    of_service -= 1.0;
    return true;
}

void set_max_service_tokens(retry_budget& budget, double limit)
{
    const std::scoped_lock lock(budget.mutex);
    budget.max_service_tokens = limit;
    for (auto& [service, entry] : budget.services)
    {
        entry.tokens = std::min(entry.tokens, limit);
    }
}

void record_failed_request(retry_budget& budget, const failed_request& request)
{
    const std::scoped_lock lock(budget.mutex);
    entry_of(budget, request.digest) = request;
}

std::optional<failed_request>
take_failed_request(retry_budget& budget, std::uint64_t digest, time_point now)
{
    const std::scoped_lock lock(budget.mutex);
    failed_request& entry = entry_of(budget, digest);
    if (entry.digest != digest || entry.at == time_point{} ||
        now - entry.at > failed_request_age)
    {
        return std::nullopt;
    }
    return std::exchange(entry, {});
}

} // namespace cyclamenhold
