#include "core/departures/departure_record.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace cyclamenhold
{
namespace
{

constexpr std::string_view key_prefix = "departed/";
constexpr duration call_timeout = 1s;
// After the time limit of a call the client must have reported its failure.
constexpr duration overdue_report = 500ms;
constexpr duration shortest_backoff = 200ms;
constexpr duration longest_backoff = 2s;

// Returns a random duration in [bound / 2, bound).
duration jittered(duration bound, random_source& random)
{
    return bound / 2 +
           from_seconds(to_seconds(bound / 2) * random_fraction(random));
}

// One process a line: its start and its id.
std::string encode(const std::vector<departed_process>& departed)
{
    std::string text;
    for (const auto& [id, started_ms] : departed)
    {
        text += std::to_string(started_ms) + ' ' + id + '\n';
    }
    return text;
}

std::optional<departed_process> decode_line(std::string_view line)
{
    departed_process process;
    const auto space = std::min(line.find(' '), line.size());
    const char* const start_end = line.data() + space;
    const auto [end, error] =
        std::from_chars(line.data(), start_end, process.started_ms);
    if (error != std::errc{} || end != start_end || process.started_ms == 0 ||
        line.size() - space < 2)
    {
        return std::nullopt;
    }
    process.id = line.substr(space + 1);
    return process;
}

// The newest processes of the text. Lines of another writer that can't be read
// are skipped.
std::vector<departed_process> decode(std::string_view text)
{
    std::vector<departed_process> departed;
    while (!text.empty())
    {
        const auto line_end = std::min(text.find('\n'), text.size());
        if (const auto process = decode_line(text.substr(0, line_end)))
        {
            departed.push_back(*process);
        }
        text.remove_prefix(std::min(line_end + 1, text.size()));
    }
    if (departed.size() > max_departed_processes)
    {
        departed.erase(
            departed.begin(), departed.end() - static_cast<std::ptrdiff_t>(
                                                   max_departed_processes));
    }
    return departed;
}

bool contains(
    const std::vector<departed_process>& departed,
    const departed_process& process)
{
    return std::ranges::find(departed, process) != departed.end();
}

// Adds the processes of the entry before those of this node process, which are
// newer.
void merge_entry(departure_record& record, std::string_view text)
{
    const std::vector<departed_process> own =
        std::exchange(record.departed, decode(text));
    record.is_stored = std::ranges::all_of(
        own,
        [&](const departed_process& process)
        {
            return contains(record.departed, process);
        });
    for (const auto& process : own)
    {
        add_departure(record, process);
    }
}

platform_call& start_call(
    departure_record& record, platform_operation operation, time_point now,
    control_actions& actions)
{
    platform_call call;
    call.client = platform_client::departures;
    call.call_id = ++record.last_call_id;
    call.operation = operation;
    call.timeout = call_timeout;
    record.call_id = call.call_id;
    record.operation = operation;
    record.call_expires_at = now + call.timeout + overdue_report;
    actions.platform_calls.push_back(std::move(call));
    return actions.platform_calls.back();
}

void start_next_call(
    departure_record& record, time_point now, control_actions& actions)
{
    if (!record.is_read)
    {
        start_call(record, platform_operation::get, now, actions).key =
            record.key;
    }
    else if (!record.is_stored)
    {
        start_call(record, platform_operation::lease_grant, now, actions)
            .lease_time = departure_retention;
    }
}

void write_entry(
    departure_record& record, std::uint64_t lease, time_point now,
    control_actions& actions)
{
    auto& call =
        start_call(record, platform_operation::compare_and_swap, now, actions);
    call.key = record.key;
    call.value = encode(record.departed);
    call.expected_version = record.entry_version;
    call.lease = lease;
    // A process that is added from here on is not in this write.
    record.is_stored = true;
}

void handle_read(departure_record& record, const platform_reply& reply)
{
    record.is_read = true;
    record.entry_version = 0;
    if (reply.status == platform_status::ok && !reply.entries.empty())
    {
        record.entry_version = reply.entries.front().version;
        merge_entry(record, reply.entries.front().value);
        return;
    }
    record.is_stored = record.departed.empty();
}

// A write that failed, or whose reply is lost, may have taken effect: the entry
// is read again before the next one.
void handle_failure(
    departure_record& record, time_point now, random_source& random)
{
    const std::uint32_t doublings = std::min(record.failures, 4U);
    ++record.failures;
    record.is_read = false;
    record.next_call_at =
        now +
        jittered(
            std::min(shortest_backoff * (1 << doublings), longest_backoff),
            random);
}

void handle_reply(
    departure_record& record, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    record.call_id = 0;
    const bool is_read = record.operation == platform_operation::get &&
                         (reply.status == platform_status::ok ||
                          reply.status == platform_status::not_found);
    if (!is_read && reply.status != platform_status::ok)
    {
        handle_failure(record, now, random);
        return;
    }
    record.failures = 0;
    switch (record.operation)
    {
    case platform_operation::get:
        handle_read(record, reply);
        break;
    case platform_operation::lease_grant:
        write_entry(record, reply.lease, now, actions);
        return;
    default:
        record.entry_version =
            reply.entries.empty() ? 0 : reply.entries.front().version;
        record.is_read = record.entry_version != 0;
        break;
    }
    start_next_call(record, now, actions);
}

} // namespace

void departures_start(departure_record& record, host_id self)
{
    record.key = std::string(key_prefix) + to_string(self);
}

void add_departure(departure_record& record, const departed_process& process)
{
    if (contains(record.departed, process))
    {
        return;
    }
    if (record.departed.size() == max_departed_processes)
    {
        record.departed.erase(record.departed.begin());
    }
    record.departed.push_back(process);
    record.is_stored = false;
}

bool has_departed(
    const departure_record& record, std::string_view id,
    std::uint64_t started_ms)
{
    return std::ranges::any_of(
        record.departed,
        [&](const departed_process& process)
        {
            return process.id == id && process.started_ms == started_ms;
        });
}

void departures_tick(
    departure_record& record, time_point now, random_source& random,
    control_actions& actions)
{
    if (record.key.empty())
    {
        return;
    }
    if (record.call_id != 0 && now >= record.call_expires_at)
    {
        record.call_id = 0;
        handle_failure(record, now, random);
    }
    if (record.call_id == 0 && now >= record.next_call_at)
    {
        start_next_call(record, now, actions);
    }
}

void departures_on_platform_reply(
    departure_record& record, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    if (reply.call_id != 0 && reply.call_id == record.call_id)
    {
        handle_reply(record, reply, now, random, actions);
    }
}

void departures_begin_era(
    departure_record& record, time_point now, random_source& random)
{
    // The reply to a call in progress is ignored.
    record.call_id = 0;
    record.is_read = false;
    record.failures = 0;
    record.next_call_at = now + jittered(shortest_backoff, random);
}

time_point departures_due(const departure_record& record)
{
    if (record.key.empty())
    {
        return time_point::max();
    }
    if (record.call_id != 0)
    {
        return record.call_expires_at;
    }
    return record.is_read && record.is_stored ? time_point::max()
                                              : record.next_call_at;
}

} // namespace cyclamenhold
