// One call at the node where it entered: admission, tokens, claim, routing,
// attempts and retries. Each function returns the next step. The adapter, or a
// test, carries it out and reports the result with the next call.
#pragma once

#include "core/base/random.hpp"
#include "core/base/request_context.hpp"
#include "core/base/snapshot_cell.hpp"
#include "core/claims/claim.hpp"
#include "core/quarantine/quarantine.hpp"
#include "core/rates/rate_limiter.hpp"
#include "core/request/call_record.hpp"
#include "core/request/fair_slots.hpp"
#include "core/request/request_tables.hpp"
#include "core/request/route_levels.hpp"
#include "core/request/route_throttle.hpp"
#include "core/retries/allowance.hpp"
#include "core/retries/retry_budget.hpp"
#include "core/routing/routing.hpp"
#include "core/trees/tree_admission.hpp"
#include "core/trees/tree_observer.hpp"
#include "ports/events.hpp"

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhold
{

// State of the request path that the threads of one node share.
struct request_path
{
    host_id self = host_id::none;
    std::string fleet_secret;
    snapshot_cell<request_tables> tables;
    snapshot_cell<routing_view> routing;
    rate_limiter limiter;
    retry_budget retries;
    // Published by the control thread with each version of its state.
    snapshot_cell<quarantine_view> quarantine;
    fair_slots slots;
    route_levels levels;
    // Used where replies carry no load reports of the services below.
    route_throttle throttle;
    // The counts of call trees here, and what the fleet admits of them.
    tree_observer trees;
    tree_admission tree_budget;
    // Upstreams make their child calls without a key or a call handle, so a
    // request without a key is treated as a child call.
    bool treats_keyless_as_calls = false;
    // A request that an upstream's node refused is sent to another upstream
    // without being counted as a retry.
    bool retries_node_refusals = false;
    std::atomic<bool> draining{false};
    // New requests with a later deadline are refused, because a planned stop
    // might interrupt them. Nanoseconds of the clock; the maximum value while
    // none is due.
    std::atomic<std::int64_t> latest_deadline{
        std::numeric_limits<std::int64_t>::max()};
    // The clock stops while the host is suspended. A proof of freshness from
    // before the last resume is therefore not valid. Nanoseconds of the clock.
    std::atomic<std::int64_t> resumed_at{0};
    // When keys become stale without a newer proof that the local configuration
    // is the newest. Nanoseconds of the clock; the maximum value where no proof
    // is required.
    std::atomic<std::int64_t> keys_fresh_until{
        std::numeric_limits<std::int64_t>::max()};
};

// The caller's HTTP request, with the key removed from its headers.
struct call_request
{
    std::string method;
    // The Host header field.
    std::string host;
    // Path and query.
    std::string target;
    std::optional<std::string> key;
    // The caller's own id of the request; empty without one.
    std::string request_id;
    std::optional<std::chrono::milliseconds> timeout;
    std::string idempotency_key;
    std::optional<std::uint64_t> body_size;
    // The first bytes of the body, the same number each time it is sent.
    std::string_view body_prefix;
    // Set for a child call: the context of the parent request.
    std::optional<request_context> parent;
    // Set for a child call: the parent's record, from which it takes its share
    // of the retry allowance. Without it the call has no allowance.
    std::shared_ptr<call_record> parent_record;
};

enum class call_step_kind : std::uint8_t
{
    // Answer the caller with `reason`, `result`, `retry_after`.
    refuse,
    // Answer from `reply`, stored by an earlier run of the same request.
    answer_stored,
    // Wait for the token waiter with the call's id, then use call_on_token.
    wait_for_token,
    // Send `requested_claim`, then use call_on_claim.
    request_claim,
    // Send the request to `target` with `context`, then use call_on_attempt.
    attempt,
    // Pass the attempt's reply to the caller unchanged.
    deliver
};

struct call_step
{
    call_step_kind kind = call_step_kind::refuse;
    refusal reason = refusal::internal_error;
    outcome result = outcome::not_run;
    duration retry_after{};
    // The values that decided a refusal, for the log.
    std::string inputs;
    stored_reply reply;
    claim_request requested_claim;
    routing_candidate target;
    request_context context;
};

// State of one call, owned by the adapter.
//
// `context.retry_allowance` is the allowance that the call holds now. The part
// sent with an attempt is in the step's context.
struct call_state
{
    // Unique at this node. The ids of the token waiter and of the claim request
    // are equal to it.
    std::uint64_t id = 0;
    request_context context;
    bool needs_claim = false;
    // A byte of the request may have reached an upstream.
    bool may_have_run = false;
    std::uint32_t attempts = 0;
    // Attempts that an upstream's node refused before its upstream.
    std::uint32_t node_refusals = 0;
    // Sent with the attempt in progress; the unused part may be returned when
    // it ends.
    std::uint16_t passed_allowance = 0;
    std::shared_ptr<call_record> parent_record;
    std::string route;
    // The workspace's name; empty for a request without a key.
    std::string workspace;
    // The workspace has no rate limit.
    bool unlimited = false;
    bool answered = false;
    // Holds a token of its workspace, which is returned when the request does
    // not run.
    bool holds_token = false;
    time_point token_taken_at{};
    // An upstream replied.
    bool has_run = false;
    // The caller re-sent a request that was refused or failed before.
    bool is_resend = false;
    // Counted by the throttle, which needs a record of its end.
    bool is_throttled = false;
    // Ended for a reason that is no sign of overload.
    bool ended_without_load_signal = false;
    std::vector<host_id> tried;
    // The target of the attempt in progress.
    routing_candidate target;
    time_point attempt_started{};
};

struct attempt_result
{
    attempt_status status = attempt_status::failed;
    // For `refused`: the reason, and the outcome that the upstream's node
    // reports.
    refusal reason = refusal::none;
    outcome result = outcome::unknown;
    // The HTTP status of a reply.
    unsigned http_status = 0;
    // A byte of the request was passed to a link or an upstream.
    bool sent = true;
    // The request's body can be sent again. Otherwise even a `not_run` refusal
    // ends the call.
    bool replayable = true;
    std::optional<load_report> load;
    // Allowance that the attempt and its child calls did not use.
    std::uint16_t returned_allowance = 0;
    duration latency{};
};

[[nodiscard]] call_step begin_call(
    request_path& path, call_state& call, const call_request& request,
    time_point now, random_source& random);
[[nodiscard]] call_step call_on_token(
    request_path& path, call_state& call, bool admitted, time_point now,
    random_source& random);
[[nodiscard]] call_step call_on_claim(
    request_path& path, call_state& call, const claim_answer& answer,
    time_point now, random_source& random);

// Handles the end of an attempt. For a reply, call it when the head has
// arrived, so that the reply can still be discarded for a retry.
[[nodiscard]] call_step call_on_attempt(
    request_path& path, call_state& call, const attempt_result& result,
    time_point now, random_source& random);

// Ends the call, whatever its result, and releases what it holds.
void end_call(request_path& path, call_state& call, time_point now);

} // namespace cyclamenhold
