#include "collect_events.hpp"

#include "adapters/json_text.hpp"

#include <algorithm>
#include <iterator>

namespace cyclamenhold
{
namespace
{

namespace json = boost::json;

constexpr unsigned http_ok = 200;
// Limits the memory that the events of one node can use.
constexpr std::size_t max_pages = 200;

// The operators' endpoints of the members that a node's status lists.
std::vector<ip_endpoint> members_in(const std::string& status)
{
    std::vector<ip_endpoint> members;
    const auto object = parse_object(status);
    const json::value* const list =
        object ? object->if_contains("members") : nullptr;
    if (list == nullptr || !list->is_array())
    {
        return members;
    }
    for (const auto& entry : list->get_array())
    {
        const json::object* const member = entry.if_object();
        if (member == nullptr)
        {
            continue;
        }
        const auto endpoint = parse_ip_endpoint(text_of(*member, "operators"));
        if (endpoint && endpoint->port != 0)
        {
            members.push_back(*endpoint);
        }
    }
    return members;
}

std::vector<ip_endpoint>
all_nodes(const trace_arguments& arguments, const operators_access& access)
{
    std::vector<ip_endpoint> nodes = arguments.nodes;
    if (arguments.discover)
    {
        for (const auto& status :
             call_nodes(arguments.nodes, {"GET", "/v1/status", ""}, access))
        {
            if (status.ok() && status->status == http_ok)
            {
                std::ranges::copy(
                    members_in(status->body), std::back_inserter(nodes));
            }
        }
    }
    std::ranges::sort(nodes, {}, host_id_of);
    nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
    return nodes;
}

// Appends one page to the node's events, or records why it cannot be read.
// Returns whether more pages follow.
bool append_page(
    const absl::StatusOr<operators_reply>& answer, node_events& events)
{
    if (!answer.ok())
    {
        events.problem = std::string(answer.status().message());
        return false;
    }
    if (answer->status != http_ok)
    {
        events.problem =
            "answered with status " + std::to_string(answer->status);
        return false;
    }
    auto [page, found] = read_event_page(answer->body);
    if (!found.empty())
    {
        events.problem = "sent malformed events: " + to_string(found);
        return false;
    }
    const bool more = page.truncated && !page.records.empty();
    auto records = std::move(events.page.records);
    std::ranges::move(page.records, std::back_inserter(records));
    events.page = std::move(page);
    events.page.records = std::move(records);
    return more;
}

} // namespace

std::vector<node_events>
collect_events(const trace_arguments& arguments, const operators_access& access)
{
    const auto nodes = all_nodes(arguments, access);
    const auto target = write_event_query(arguments.query, arguments.workspace);
    const auto answers = call_nodes(nodes, {"GET", target, ""}, access);
    std::vector<node_events> collected(nodes.size());
    for (std::size_t index = 0; index < nodes.size(); ++index)
    {
        node_events& events = collected[index];
        events.node = nodes[index];
        bool more = append_page(answers[index], events);
        events.missing = !events.problem.empty();
        for (std::size_t page = 1; more && page < max_pages; ++page)
        {
            event_query next = arguments.query;
            next.since = events.page.records.back().time;
            const auto answer = call_node(
                nodes[index],
                {"GET", write_event_query(next, arguments.workspace), ""},
                access);
            more = append_page(answer, events);
        }
        if (more)
        {
            events.problem = "has more events than the page limit allows";
        }
    }
    return collected;
}

} // namespace cyclamenhold
