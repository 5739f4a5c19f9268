// What travels with a request and with each of its child calls.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/outcome.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <string>

namespace cyclamenhold
{

// The number of admission slots a priority class is divided into. The slot is
// drawn once for a root request, so that all hops decide alike.
constexpr std::uint16_t admission_slot_count = 128;

// The lowest admission an overloaded upstream still accepts. A request passes
// when its class is more important, or the same and its slot is below `slots`.
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
    // Zero for a request that needs no claim.
    std::uint64_t steward_epoch = 0;
    std::uint64_t claim_id = 0;
    // The claim may be used until then, on the clock of the node that holds
    // this context.
    time_point valid_until{};
};

struct request_context
{
    trace_id trace;
    workspace_id workspace = workspace_id::none;
    service_id service = service_id::none;
    priority_class priority = priority_class::normal;
    // In [0, admission_slot_count).
    std::uint16_t slot = 0;
    // Zero for the root request.
    std::uint8_t depth = 0;
    // The request must not reach an upstream twice.
    bool never_repeat = false;
    // Attempts beyond the first that this call and all below it may still
    // make, together.
    std::uint16_t retry_allowance = 0;
    // Absolute on the local clock; it travels as the time that remains.
    time_point deadline{};
    // Equal for a request and its re-sends: method, path, key and body
    // prefix. Names suspects when upstreams die.
    std::uint64_t digest = 0;
    // Given by the caller; empty without one.
    std::string idempotency_key;
    claim_grant claim;
};

} // namespace cyclamenhold
