// How a deployment spells what crosses the node's edges: header fields, the
// upstream's announcements, the operators' documents and the store's calls.
// The default is the product's own interface; a deployment brings its own.
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

// Names of header fields. A field with an empty name is not sent or looked for.
struct header_names
{
    // From callers: how many milliseconds they wait.
    std::string timeout = "Cyclamen-Timeout-Ms";
    // To the upstream: the milliseconds that are left.
    std::string remaining = "Cyclamen-Deadline-Ms";
    // To the upstream: names the request for its child calls.
    std::string call_handle = "Cyclamen-Call";
    std::string trace = "Cyclamen-Trace";
    // To callers: what became of the request, and why it was refused.
    std::string outcome = "Cyclamen-Outcome";
    std::string reason = "Cyclamen-Reason";
    // From callers: the id that they gave to the request; echoed in refusals
    // and logs.
    std::string request_id;
    // To the upstream: which process the request is meant for.
    std::string upstream_id;
    // To the upstream: the workspace whose key came with the request.
    std::string workspace;
    // To the upstream: the service on the host where the request entered.
    std::string caller_service;
    // From the upstream: it has not run the request.
    std::string not_run;
    // From the upstream: its signature of the reply. A success without it is
    // not the upstream's.
    std::string signature;
    // Retry-After may have fractions of a second.
    bool fractional_retry_after = false;
    // The Host field of the caller goes on to the upstream.
    bool forwards_host = false;
};

// What the local upstream says of itself.
struct upstream_announcement
{
    upstream_record record;
    ip_endpoint endpoint;
    std::chrono::milliseconds warm_up{};
    // Names the upstream's process; empty when it gives none.
    std::string id;
    // When the process started, in milliseconds since the Unix epoch, and the
    // number of this announcement in its life; zero when not given.
    std::uint64_t started_ms = 0;
    std::uint64_t sequence = 0;
};

// The upstream's process with this id takes no more work.
struct upstream_departure
{
    std::string id;
    std::uint64_t started_ms = 0;
};

// What a request on the upstream's port asks; monostate for one that is no
// announcement, findings for one that cannot be read.
using upstream_message = std::variant<
    std::monostate, upstream_announcement, upstream_departure, findings>;

struct protocol_profile
{
    header_names headers;
    // Reads a request on the upstream's port; null for the product's own.
    upstream_message (*parse_upstream_message)(
        std::string_view method, std::string_view target,
        std::string_view body) = nullptr;
    // Reads the operators' whole configuration from the store's value. Null
    // when operators use the intent API.
    absl::StatusOr<configuration> (*read_document)(
        std::string_view text, std::string_view fleet_secret) = nullptr;
    // The store's key that holds it.
    std::string document_key;
    platform_codec store;
};

} // namespace cyclamenhold
