// One call at the node where it entered: admission, tokens, claim, routing,
// attempts and retries. Each function returns the single next step; the
// adapter, or a test, carries it out and comes back with what happened.
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
#include "ports/events.hpp"

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenhold
{

// What the request path of one node shares between its threads.
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
    // Used where replies do not tell of the services below.
    route_throttle throttle;
    // Upstreams make their calls without a key or a handle: requests without
    // a key are taken for calls.
    bool keyless_are_calls = false;
    // What an upstream's node turned away goes to another upstream without a
    // repeat being counted.
    bool retries_turned_away = false;
    std::atomic<bool> draining{false};
    // The planned stop is so near that new requests might be cut.
    std::atomic<bool> refuses_new{false};
    // The clock does not count while the host is suspended: proofs from before
    // the last such moment say nothing. Nanoseconds of the clock.
    std::atomic<std::int64_t> resumed_at{0};
    // Until when keys may be trusted without a newer proof that the
    // configuration here is the newest; nanoseconds of the clock, the largest
    // value where no proof is asked for.
    std::atomic<std::int64_t> keys_valid_until{
        std::numeric_limits<std::int64_t>::max()};
};

// What the caller's HTTP request says, the key removed from its headers.
struct call_request
{
    std::string method;
    // The Host field.
    std::string host;
    // Path and query.
    std::string target;
    std::optional<std::string> key;
    // The caller's own name of the request; empty without one.
    std::string request_id;
    std::optional<std::chrono::milliseconds> timeout;
    std::string idempotency_key;
    std::optional<std::uint64_t> body_size;
    // Set for a child call: the context of the parent's request.
    std::optional<request_context> parent;
    // For a child call: the parent's record, which hands out the retry
    // allowance. Without it the call has none.
    std::shared_ptr<call_record> parent_record;
};

enum class call_step_kind : std::uint8_t
{
    // Answer the caller with `reason`, `result`, `retry_after`.
    refuse,
    // Answer from `reply`, kept from an earlier run of the same request.
    answer_stored,
    // Wait for the token waiter with the call's id, then call_on_token.
    wait_for_token,
    // Ask for a claim, then call_on_claim.
    ask_claim,
    // Send the request to `target` with `context`, then call_on_attempt.
    attempt,
    // The attempt's reply goes to the caller as it is.
    deliver
};

struct call_step
{
    call_step_kind kind = call_step_kind::refuse;
    refusal reason = refusal::internal_error;
    outcome result = outcome::not_run;
    duration retry_after{};
    // What decided a refusal, for the log.
    std::string inputs;
    stored_reply reply;
    claim_request question;
    routing_candidate target;
    request_context context;
};

// What the adapter keeps for one call.
//
// `context.retry_allowance` is what the call holds now; what travels with an
// attempt is in the step's context.
struct call_state
{
    // Unique at this node; token waiter and claim token are equal to it.
    std::uint64_t id = 0;
    request_context context;
    bool needs_claim = false;
    // A byte of the request may have reached an upstream.
    bool may_have_run = false;
    std::uint32_t attempts = 0;
    // Attempts that an upstream's node turned away before its upstream.
    std::uint32_t turned_away = 0;
    // Went out with the attempt under way and may come back with its end.
    std::uint16_t passed_allowance = 0;
    std::shared_ptr<call_record> parent_record;
    std::string route;
    // The workspace's name; empty for a request without a key.
    std::string workspace;
    // The workspace has no rate.
    bool unlimited = false;
    bool answered = false;
    // Took a token of its workspace, which goes back when it does not run.
    bool holds_token = false;
    // An upstream replied.
    bool has_run = false;
    // The caller sends again what was refused or failed before.
    bool is_resend = false;
    // Counted by the throttle, which hears of its end.
    bool is_throttled = false;
    // Ended for a reason that says nothing of load.
    bool ended_aside = false;
    std::vector<host_id> tried;
    // The attempt under way.
    routing_candidate target;
    time_point attempt_started{};
};

struct attempt_result
{
    attempt_status status = attempt_status::failed;
    // For `refused`: why, and what the upstream's node says became of it.
    refusal reason = refusal::none;
    outcome result = outcome::unknown;
    // The HTTP status of a reply.
    unsigned http_status = 0;
    // A byte of the request was handed to a link or upstream.
    bool sent = true;
    // The request's body can be sent again. A refusal that says `not_run`
    // without it still ends the call.
    bool replayable = true;
    std::optional<load_report> load;
    // What the attempt and its children did not use.
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

// An attempt was answered or failed. For a reply this is called when its head
// has arrived, so that it may still be dropped for a retry.
[[nodiscard]] call_step call_on_attempt(
    request_path& path, call_state& call, const attempt_result& result,
    time_point now, random_source& random);

// The call is over, whatever its way; releases what it holds.
void end_call(request_path& path, call_state& call, time_point now);

} // namespace cyclamenhold
