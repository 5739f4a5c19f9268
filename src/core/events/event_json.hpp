// Events as JSON: the operators' API of a node writes it, cyclamen-trace reads
// it.
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

// What GET /v1/events answers.
struct event_page
{
    host_id host = host_id::none;
    std::string name;
    // Events of this host that the ring no longer holds.
    std::uint64_t overwritten = 0;
    // Ask again with `since` = the last record's time.
    bool truncated = false;
    std::vector<event_record> records;
};

[[nodiscard]] std::string write_event_page(const event_page& page);

struct event_page_result
{
    event_page page;
    findings found;
};

// The page is meaningful only without findings.
[[nodiscard]] event_page_result read_event_page(std::string_view text);

struct event_query_result
{
    event_query query;
    findings found;
};

// Reads the query part of "/v1/events?since_hlc=..&until_hlc=..&trace=..
// &workspace=NAME&limit=..". Unknown parameters are findings.
[[nodiscard]] event_query_result read_event_query(std::string_view target);

// The target of the request that asks for `query`; `workspace_name` stands for
// the query's workspace.
[[nodiscard]] std::string
write_event_query(const event_query& query, std::string_view workspace_name);

} // namespace cyclamenhold
