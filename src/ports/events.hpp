// Events: records of a node's decisions, for the time line.
#pragma once

#include "core/base/ids.hpp"
#include "core/base/names.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenhold
{

enum class event_kind : std::uint8_t
{
    node_started,
    node_stopping,
    node_stopped,
    request_received,
    request_answered,
    request_refused,
    request_cancelled,
    attempt_started,
    attempt_ended,
    gate_queued,
    gate_started,
    gate_refused,
    upstream_announced,
    upstream_draining,
    upstream_lost,
    upstream_crashed,
    upstream_ejected,
    member_joined,
    member_suspected,
    member_removed,
    member_left,
    configuration_applied,
    configuration_rejected,
    configuration_incomplete,
    key_withdrawn,
    steward_changed,
    rate_role_changed,
    tokens_outside_pool,
    loan_granted,
    loan_returned,
    claim_granted,
    claim_refused,
    request_quarantined,
    peer_connected,
    peer_rejected,
    peer_lost,
    peer_silent,
    bad_input,
    platform_unavailable,
    platform_available,
    evacuation_changed,
    platform_rewound,
    trees_limited
};

template <>
struct enum_names<event_kind>
{
    static constexpr std::array<std::pair<event_kind, std::string_view>, 43>
        table{
            {{event_kind::node_started, "node-started"},
             {event_kind::node_stopping, "node-stopping"},
             {event_kind::node_stopped, "node-stopped"},
             {event_kind::request_received, "request-received"},
             {event_kind::request_answered, "request-answered"},
             {event_kind::request_refused, "request-refused"},
             {event_kind::request_cancelled, "request-cancelled"},
             {event_kind::attempt_started, "attempt-started"},
             {event_kind::attempt_ended, "attempt-ended"},
             {event_kind::gate_queued, "gate-queued"},
             {event_kind::gate_started, "gate-started"},
             {event_kind::gate_refused, "gate-refused"},
             {event_kind::upstream_announced, "upstream-announced"},
             {event_kind::upstream_draining, "upstream-draining"},
             {event_kind::upstream_lost, "upstream-lost"},
             {event_kind::upstream_crashed, "upstream-crashed"},
             {event_kind::upstream_ejected, "upstream-ejected"},
             {event_kind::member_joined, "member-joined"},
             {event_kind::member_suspected, "member-suspected"},
             {event_kind::member_removed, "member-removed"},
             {event_kind::member_left, "member-left"},
             {event_kind::configuration_applied, "configuration-applied"},
             {event_kind::configuration_rejected, "configuration-rejected"},
             {event_kind::configuration_incomplete, "configuration-incomplete"},
             {event_kind::key_withdrawn, "key-withdrawn"},
             {event_kind::steward_changed, "steward-changed"},
             {event_kind::rate_role_changed, "rate-role-changed"},
             {event_kind::tokens_outside_pool, "tokens-outside-pool"},
             {event_kind::loan_granted, "loan-granted"},
             {event_kind::loan_returned, "loan-returned"},
             {event_kind::claim_granted, "claim-granted"},
             {event_kind::claim_refused, "claim-refused"},
             {event_kind::request_quarantined, "request-quarantined"},
             {event_kind::peer_connected, "peer-connected"},
             {event_kind::peer_rejected, "peer-rejected"},
             {event_kind::peer_lost, "peer-lost"},
             {event_kind::peer_silent, "peer-silent"},
             {event_kind::bad_input, "bad-input"},
             {event_kind::platform_unavailable, "platform-unavailable"},
             {event_kind::platform_available, "platform-available"},
             {event_kind::evacuation_changed, "evacuation-changed"},
             {event_kind::platform_rewound, "platform-rewound"},
             {event_kind::trees_limited, "trees-limited"}}};
};

// An event before the node adds its time and its host_id.
struct event
{
    event_kind kind = event_kind::node_started;
    trace_id trace;
    workspace_id workspace = workspace_id::none;
    // The other host, if the event involves one.
    host_id peer = host_id::none;
    // Short free text in English. Must not contain a key or a body.
    std::string detail;
    // The caller's own id of the request; empty if it is not available.
    std::string request_id = {};
    // Normal operation: recorded for the time line, but not logged.
    bool is_routine = false;
};

} // namespace cyclamenhold
