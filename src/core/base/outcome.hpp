// Outcomes of requests, reasons for refusals, and the HTTP statuses that report
// them to callers.
#pragma once

#include "core/base/names.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace cyclamenhold
{

// The value of the Cyclamen-Outcome header. `not_run` is sent only if no byte
// of the request can have reached an upstream, or if the upstream reports that
// it has not run the request.
enum class outcome : std::uint8_t
{
    ran,
    not_run,
    unknown
};

template <>
struct enum_names<outcome>
{
    static constexpr std::array<std::pair<outcome, std::string_view>, 3> table{
        {{outcome::ran, "ran"},
         {outcome::not_run, "not-run"},
         {outcome::unknown, "unknown"}}};
};

// The importance of a route; a lower value is more important and is shed later.
enum class priority_class : std::uint8_t
{
    critical,
    high,
    normal,
    low
};

constexpr std::size_t priority_class_count = 4;

template <>
struct enum_names<priority_class>
{
    static constexpr std::array<
        std::pair<priority_class, std::string_view>, priority_class_count>
        table{
            {{priority_class::critical, "critical"},
             {priority_class::high, "high"},
             {priority_class::normal, "normal"},
             {priority_class::low, "low"}}};
};

// Why a request was not answered by an upstream.
enum class refusal : std::uint8_t
{
    none,
    bad_request,
    unauthenticated,
    forbidden,
    no_route,
    body_too_large,
    header_too_large,
    rate_exceeded,
    overloaded,
    no_upstream,
    deadline_exceeded,
    cancelled,
    retry_budget_exhausted,
    quarantined,
    claim_unavailable,
    duplicate_in_progress,
    duplicate_finished,
    draining,
    upstream_failed,
    not_configured,
    internal_error,
    // Operators evacuate the data centre of the upstream.
    evacuated
};

template <>
struct enum_names<refusal>
{
    static constexpr std::array<std::pair<refusal, std::string_view>, 22> table{
        {{refusal::none, "none"},
         {refusal::bad_request, "bad-request"},
         {refusal::unauthenticated, "unauthenticated"},
         {refusal::forbidden, "forbidden"},
         {refusal::no_route, "no-route"},
         {refusal::body_too_large, "body-too-large"},
         {refusal::header_too_large, "header-too-large"},
         {refusal::rate_exceeded, "rate-exceeded"},
         {refusal::overloaded, "overloaded"},
         {refusal::no_upstream, "no-upstream"},
         {refusal::deadline_exceeded, "deadline-exceeded"},
         {refusal::cancelled, "cancelled"},
         {refusal::retry_budget_exhausted, "retry-budget-exhausted"},
         {refusal::quarantined, "quarantined"},
         {refusal::claim_unavailable, "claim-unavailable"},
         {refusal::duplicate_in_progress, "duplicate-in-progress"},
         {refusal::duplicate_finished, "duplicate-finished"},
         {refusal::draining, "draining"},
         {refusal::upstream_failed, "upstream-failed"},
         {refusal::not_configured, "not-configured"},
         {refusal::internal_error, "internal-error"},
         {refusal::evacuated, "evacuated"}}};
};

// The HTTP status that a refusal is answered with.
[[nodiscard]] constexpr unsigned http_status_of(refusal reason)
{
    switch (reason)
    {
    case refusal::none:
        return 200;
    case refusal::bad_request:
        return 400;
    case refusal::unauthenticated:
        return 401;
    case refusal::forbidden:
        return 403;
    case refusal::no_route:
        return 404;
    case refusal::body_too_large:
        return 413;
    case refusal::header_too_large:
        return 431;
    case refusal::rate_exceeded:
        return 429;
    case refusal::duplicate_in_progress:
    case refusal::duplicate_finished:
        return 409;
    case refusal::quarantined:
        return 422;
    case refusal::upstream_failed:
        return 502;
    case refusal::deadline_exceeded:
        return 504;
    case refusal::cancelled:
        return 499;
    case refusal::internal_error:
        return 500;
    case refusal::overloaded:
    case refusal::no_upstream:
    case refusal::retry_budget_exhausted:
    case refusal::claim_unavailable:
    case refusal::draining:
    case refusal::not_configured:
    case refusal::evacuated:
        return 503;
    }
    return 500;
}

// Whether a refusal with this status guarantees that the request has not run
// and will not run.
[[nodiscard]] constexpr bool is_not_run_status(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// The status for a refusal of a request with this outcome. For a request that
// has not run, 503 replaces 504 and 502, which leave open whether it ran. For
// any other, 502 replaces a status that guarantees that it has not run.
[[nodiscard]] constexpr unsigned http_status_of(refusal reason, outcome result)
{
    const unsigned status = http_status_of(reason);
    if (result == outcome::not_run)
    {
        const bool is_ambiguous = reason == refusal::deadline_exceeded ||
                                  reason == refusal::upstream_failed;
        return is_ambiguous ? 503 : status;
    }
    return is_not_run_status(status) ? 502 : status;
}

} // namespace cyclamenhold
