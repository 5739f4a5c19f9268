// Retries of a workspace at one node, bounded to a share of its first attempts,
// and the callers' own re-sends, recognised by digest and counted against it.
// Thread-safe.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <limits>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cyclamenhold
{

// A token bucket that first attempts fill and retries empty.
struct retry_tokens
{
    double tokens = 0.0;
};

// A request that was not answered well, which its caller may send again.
struct failed_request
{
    std::uint64_t digest = 0;
    // The admission slot it had.
    std::uint16_t slot = 0;
    time_point at{};
};

struct retry_budget
{
    std::mutex mutex;
    std::unordered_map<workspace_id, retry_tokens> workspaces;
    std::unordered_map<service_id, retry_tokens> services;
    // What a service may save up at this node; its part of what the fleet may.
    double max_service_tokens = std::numeric_limits<double>::max();
    // A direct-mapped table by digest: bounded, and the newest stays.
    std::vector<failed_request> failed;
};

// A first attempt of the workspace at the service.
void record_first_attempt(
    retry_budget& budget, workspace_id workspace, service_id service);

// Takes one retry out of the budgets of both; false when one has none.
[[nodiscard]] bool
take_retry(retry_budget& budget, workspace_id workspace, service_id service);

// Sets what each service may save up at this node.
void set_max_service_tokens(retry_budget& budget, double most);

// A root request failed or was refused, so that its caller may send it again.
void record_failed_request(retry_budget& budget, const failed_request& request);

// The failure lately of which a root request is the caller's re-send, if any.
// Each failure is matched by one re-send.
[[nodiscard]] std::optional<failed_request>
take_failed_request(retry_budget& budget, std::uint64_t digest, time_point now);

} // namespace cyclamenhold
