// The context of a request, sent with the request and with each of its child
// calls.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/outcome.hpp"
#include "core/base/time.hpp"
#include "core/placement/placement.hpp"

#include <cstdint>
#include <string>

namespace cyclamenhold
{

// The number of admission slots in a priority class. The slot of a request is
// drawn once, at its root, so that all hops make the same admission decision.
constexpr std::uint16_t admission_slot_count = 128;

// The admission threshold of an overloaded upstream. A request passes if its
// class is more important than `lowest_class`, or the same with a slot below
// `slots`.
struct admission_level
{
    priority_class lowest_class = priority_class::low;
    std::uint16_t slots = admission_slot_count;
    auto operator<=>(const admission_level&) const = default;
};

[[nodiscard]] constexpr bool passes(
    const admission_level& level, priority_class priority, std::uint16_t slot)
{
    if (priority != level.lowest_class)
    {
        return priority < level.lowest_class;
    }
    return slot < level.slots;
}

// A granted claim: the right to run one never-repeat request once.
struct claim_grant
{
    // The epoch of the steward that granted the claim; zero for a request that
    // needs none.
    std::uint64_t steward_epoch = 0;
    std::uint64_t claim_id = 0;
    // The end of the claim's validity, on the local monotonic clock.
    time_point valid_until{};
};

struct request_context
{
    trace_id trace;
    workspace_id workspace = workspace_id::none;
    service_id service = service_id::none;
    // None from a node that does not send it.
    route_id route = route_id::none;
    priority_class priority = priority_class::normal;
    // In [0, admission_slot_count).
    std::uint16_t slot = 0;
    // The number of calls above this one; zero for the root request.
    std::uint8_t depth = 0;
    // The request must not reach an upstream twice.
    bool never_repeat = false;
    // The number of retries left to this call and all of its child calls
    // together.
    std::uint16_t retry_allowance = 0;
    // On the local monotonic clock. Frames carry the remaining time instead,
    // since the clocks of hosts are not comparable.
    time_point deadline{};
    // A hash of workspace, method, target, idempotency key and the first bytes
    // of the body, the same for a request and its retries. Identifies requests
    // that may have crashed an upstream; those with another body have not.
    std::uint64_t digest = 0;
    // From the caller; empty if it sent none.
    std::string idempotency_key;
    claim_grant claim;
    // Used at the node where the request enters; not sent.
    region_limit regions;
};

} // namespace cyclamenhold
