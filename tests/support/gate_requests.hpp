// A gate in front of an upstream, requests for it and its decisions.
#pragma once

#include "core/gate/gate.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cyclamenhold
{

inline const time_point start_time{1000s};

inline upstream_record
serving(std::uint32_t slots, std::uint32_t connections = 1000)
{
    return {"lookup", upstream_state::serving, slots, connections, 1};
}

inline gate_request make_request(
    gate_entry_id entry_id, priority_class priority = priority_class::normal,
    std::uint64_t workspace = 1, time_point deadline = start_time + 10s)
{
    gate_request request;
    request.entry_id = entry_id;
    request.context.priority = priority;
    request.context.workspace = static_cast<workspace_id>(workspace);
    request.context.deadline = deadline;
    return request;
}

inline gate_state make_gate(std::uint32_t slots)
{
    gate_state gate;
    EXPECT_TRUE(gate_set_upstream(gate, serving(slots), start_time).empty());
    return gate;
}

inline bool
holds(const gate_decisions& decisions, gate_entry_id entry_id, refusal reason)
{
    return std::ranges::any_of(
        decisions,
        [&](const gate_decision& decision)
        {
            return decision.entry_id == entry_id && decision.reason == reason;
        });
}

} // namespace cyclamenhold
