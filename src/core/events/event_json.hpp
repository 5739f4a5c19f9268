// Events as JSON, written by the operators' API of a node and read by
// cyclamen-trace.
#pragma once

#include "core/base/findings.hpp"
#include "core/events/event_ring.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

namespace cyclamenhold
{

[[nodiscard]] boost::json::object to_json(const event_record& record);

// The reply to GET /v1/events.
struct event_page
{
    host_id host = host_id::none;
    std::string name;
    // The number of events that were overwritten in the host's ring.
    std::uint64_t overwritten = 0;
    // More events match; the next page starts at `since` = the time of the
    // last record.
    bool truncated = false;
    std::vector<event_record> records;
};

[[nodiscard]] std::string write_event_page(const event_page& page);

struct event_page_result
{
    event_page page;
    findings found;
};

// Parses a page. The page is valid only if there are no findings.
[[nodiscard]] event_page_result read_event_page(std::string_view text);

struct event_query_result
{
    event_query query;
    findings found;
};

// Parses the query of "/v1/events?since_hlc=..&until_hlc=..&trace=..
// &workspace=NAME&limit=..". An unknown parameter is a finding.
[[nodiscard]] event_query_result read_event_query(std::string_view target);

// The request target for `query`. `workspace_name` is the name of the query's
// workspace, which `query` holds only as a hash.
[[nodiscard]] std::string
write_event_query(const event_query& query, std::string_view workspace_name);

} // namespace cyclamenhold
