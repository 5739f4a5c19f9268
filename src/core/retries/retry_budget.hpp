// The retry budget of a workspace at one node: retries are bounded to a share
// of its first attempts. Re-sends by callers are recognised by digest and
// counted against it. Thread-safe.
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

// A token bucket that is filled by first attempts and emptied by retries.
struct retry_tokens
{
    double tokens = 0.0;
};

// A root request that failed or was refused, which its caller may send again.
struct failed_request
{
    std::uint64_t digest = 0;
    // The admission slot of the request.
    std::uint16_t slot = 0;
    time_point at{};
};

struct retry_budget
{
    std::mutex mutex;
    std::unordered_map<workspace_id, retry_tokens> workspaces;
    std::unordered_map<service_id, retry_tokens> services;
    // Bound of each service's budget at this node: its part of the fleet's
    // bound.
    double max_service_tokens = std::numeric_limits<double>::max();
    // A direct-mapped table indexed by digest. Bounded; a newer entry replaces
    // an older one.
    std::vector<failed_request> failed;
};

// Records a first attempt of the workspace at the service.
void record_first_attempt(
    retry_budget& budget, workspace_id workspace, service_id service);

// Takes one retry from both budgets. Returns false when either is empty.
[[nodiscard]] bool
take_retry(retry_budget& budget, workspace_id workspace, service_id service);

// Sets the bound of each service's budget at this node.
void set_max_service_tokens(retry_budget& budget, double limit);

// Records a root request that failed or was refused, so that a re-send can be
// recognised.
void record_failed_request(retry_budget& budget, const failed_request& request);

// Returns the recent failure that a root request repeats, if any, and removes
// it, so that each failure matches one re-send.
[[nodiscard]] std::optional<failed_request>
take_failed_request(retry_budget& budget, std::uint64_t digest, time_point now);

} // namespace cyclamenhold
