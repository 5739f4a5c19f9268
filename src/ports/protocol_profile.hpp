// The external protocols of a deployment: header fields, messages of the local
// upstream, the operators' documents and calls of the store. The default is the
// product's own interface; a deployment can replace it.
#pragma once

#include "core/base/findings.hpp"
#include "core/base/ip_endpoint.hpp"
#include "core/configuration/model.hpp"
#include "core/routing/upstream.hpp"
#include "ports/platform.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace cyclamenhold
{

// Names of header fields. A field with an empty name is neither sent nor read.
struct header_names
{
    // From callers: the time until their deadline, in milliseconds.
    std::string timeout = "Cyclamen-Timeout-Ms";
    // To the upstream: the remaining time, in milliseconds.
    std::string remaining = "Cyclamen-Deadline-Ms";
    // To the upstream: identifies the request in its child calls.
    std::string call_handle = "Cyclamen-Call";
    std::string trace = "Cyclamen-Trace";
    // To callers: the outcome of the request, and the reason for a refusal.
    std::string outcome = "Cyclamen-Outcome";
    std::string reason = "Cyclamen-Reason";
    // From callers: their own id of the request; repeated in refusals and
    // logs.
    std::string request_id;
    // To the upstream: the id of the process to which the request is sent.
    std::string upstream_id;
    // To the upstream: the workspace whose key came with the request.
    std::string workspace;
    // To the upstream: the service of the host where the request entered.
    std::string caller_service;
    // From the upstream: present if it has not run the request.
    std::string not_run;
    // From the upstream: its signature of the reply. A success reply without
    // it does not come from the upstream.
    std::string signature;
    // From the upstream: the requests per second that it takes. Holds until a
    // reply without it.
    std::string rate_limit = "Cyclamen-Rate-Limit";
    // From the upstream: "1" if its process leaves.
    std::string leaving = "Cyclamen-Leaving";
    // From the upstream: for how many milliseconds it remains cold.
    std::string cold = "Cyclamen-Cold-Ms";
    // Whether Retry-After may have fractions of a second.
    bool fractional_retry_after = false;
    // Whether the caller's Host field is forwarded to the upstream.
    bool forwards_host = false;
};

// The local upstream's announcement of its state.
struct upstream_announcement
{
    upstream_record record;
    ip_endpoint endpoint;
    std::chrono::milliseconds warm_up{};
    // Identifies the upstream's process; empty if it sends none.
    std::string id;
    // The start of the process, in milliseconds since the Unix epoch, and the
    // number of this announcement since then; zero if not given.
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;
};

// The upstream's process with this id accepts no more requests.
struct upstream_departure
{
    std::string id;
    std::uint64_t started_ms = 0;
};

// A parsed request on the upstream's port: monostate if it is no message of the
// upstream about itself, findings if it is malformed.
using upstream_message = std::variant<
    std::monostate, upstream_announcement, upstream_departure, findings>;

struct protocol_profile
{
    header_names headers;
    // Parses a request on the upstream's port; null for the product's own
    // interface.
    upstream_message (*parse_upstream_message)(
        std::string_view method, std::string_view target,
        std::string_view body) = nullptr;
    // Parses the operators' whole configuration from a value of the store;
    // null if operators use the intent API.
    absl::StatusOr<configuration> (*read_document)(
        std::string_view text, std::string_view fleet_secret) = nullptr;
    // The key of that value in the store.
    std::string document_key;
    // The entries of the store by which operators evacuate data centres: this
    // and the data centre's name. Empty if there are none.
    std::string evacuation_prefix;
    // The common beginning of all keys that operators write.
    std::string operator_prefix;
    platform_codec store;
};

} // namespace cyclamenhold
