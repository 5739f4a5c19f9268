// Processes one request in a stand-in upstream: acquires a slot, waits for the
// service time, makes the child calls, and plans the reply.
#pragma once

#include "upstream_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenhold
{

struct received_request
{
    std::string method;
    std::string path;
    // Without the question mark.
    std::string query;
    std::vector<http_header> headers;
    // The first `max_echoed_body_bytes` of the body.
    std::string body_start;
    std::uint64_t body_bytes = 0;
    // XXH3 of the whole body.
    std::uint64_t body_hash = 0;
};

// Request bodies up to this size are echoed in the reply.
constexpr std::size_t max_echoed_body_bytes = 64 * 1024;
constexpr std::uint64_t max_reply_bytes = 64ULL * 1024 * 1024;
// A request with this text in its body, or with a header X-Poison, crashes the
// upstream that runs it.
constexpr std::string_view poison_marker = "cyclamen-poison";

struct reply_plan
{
    unsigned status = 200;
    std::vector<http_header> headers;
    std::string body;
    // When set, the body is this many bytes of a fixed pattern.
    std::optional<std::uint64_t> pattern_bytes;
    // Close the connection without a reply.
    bool drop = false;
};

[[nodiscard]] boost::asio::awaitable<reply_plan>
run_request(upstream_state& upstream, const received_request& request);

// The value of a query parameter; empty when it is missing.
[[nodiscard]] std::string
query_value(std::string_view query, std::string_view name);

} // namespace cyclamenhold
