#include "core/quarantine/quarantine_record.hpp"

#include "core/quarantine/quarantine_table.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace cyclamenhold
{
namespace
{

constexpr std::string_view key_prefix = "quarantine/";
constexpr std::uint32_t page_size = 500;
constexpr duration call_timeout = 1s;
// After the time limit of a call the client must have reported its failure.
constexpr duration overdue_report = 500ms;
constexpr duration watch_time = 20s;
constexpr duration shortest_backoff = 200ms;
constexpr duration longest_backoff = 2s;
// Until the next watch. All watches end at the same change, and a store may end
// them early.
constexpr duration longest_watch_delay = 500ms;
// When others record a request that its reporters have not recorded, and how
// often they check for it.
constexpr duration takeover_delay = 1s;
constexpr duration takeover_interval = 5s;
// What is about to expire is not worth a write.
constexpr duration shortest_recorded = 5s;

// Returns a random duration in [bound / 2, bound).
duration jittered(duration bound, random_source& random)
{
    return bound / 2 +
           from_seconds(to_seconds(bound / 2) * random_fraction(random));
}

std::string key_of(std::uint64_t digest)
{
    return absl::StrFormat("%s%016x", key_prefix, digest);
}

template <class Number>
std::optional<Number> parse_number(std::string_view text, int base)
{
    Number number{};
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (error != std::errc{} || end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return number;
}

std::optional<std::uint64_t> digest_of(std::string_view key)
{
    if (!key.starts_with(key_prefix) || key.size() != key_prefix.size() + 16)
    {
        return std::nullopt;
    }
    return parse_number<std::uint64_t>(key.substr(key_prefix.size()), 16);
}

platform_call& add_call(
    quarantine_state& state, platform_operation operation,
    control_actions& actions)
{
    platform_call call;
    call.client = platform_client::quarantine;
    call.call_id = ++state.record.last_call_id;
    call.operation = operation;
    call.timeout = call_timeout;
    actions.platform_calls.push_back(std::move(call));
    return actions.platform_calls.back();
}

void start_read(
    quarantine_state& state, time_point now, control_actions& actions)
{
    quarantine_record& record = state.record;
    const bool is_watch = record.is_listed;
    auto& call = add_call(
        state, is_watch ? platform_operation::watch : platform_operation::list,
        actions);
    call.key = key_prefix;
    if (is_watch)
    {
        call.expected_version = record.revision;
        call.wait = watch_time;
    }
    else
    {
        call.after = record.after;
        call.limit = page_size;
    }
    record.read_call = call.call_id;
    record.read_expires_at = now + call.wait + call.timeout + overdue_report;
}

// Drops what was read of the record and lists it again later.
void restart_list(quarantine_record& record, time_point at)
{
    record.is_listed = false;
    record.has_first_page = false;
    record.after.clear();
    record.next_read_at = at;
}

void handle_read_failure(
    quarantine_record& record, time_point now, random_source& random)
{
    const std::uint32_t doublings = std::min(record.read_failures, 4U);
    ++record.read_failures;
    restart_list(
        record,
        now +
            jittered(
                std::min(shortest_backoff * (1 << doublings), longest_backoff),
                random));
}

// A removed key whose quarantine lasts was under a lease that ended early.
void handle_removed_key(
    quarantine_state& state, std::uint64_t digest, time_point now,
    random_source& random)
{
    const auto found = state.quarantined.find(digest);
    if (found != state.quarantined.end() &&
        found->second - now >= shortest_recorded)
    {
        record_later(state, digest, false, now, random);
    }
}

// Quarantines what the store has and this node has not. Entries of other
// writers that can't be read are skipped.
void apply_entries(
    quarantine_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    for (const auto& entry : reply.entries)
    {
        const auto digest = digest_of(entry.key);
        if (!digest)
        {
            continue;
        }
        if (entry.removed)
        {
            handle_removed_key(state, *digest, now, random);
            continue;
        }
        const auto ends_at_ms = parse_number<std::uint64_t>(entry.value, 10);
        if (!ends_at_ms || *ends_at_ms <= state.wall_clock_ms)
        {
            continue;
        }
        const auto longest_ms = static_cast<std::uint64_t>(
            to_milliseconds(state.settings.quarantine_time));
        const std::chrono::milliseconds remaining(
            std::min(*ends_at_ms - state.wall_clock_ms, longest_ms));
        quarantine_digest(
            state, *digest, now + remaining, "the platform", actions);
        state.record.unrecorded.erase(*digest);
    }
}

void handle_list(
    quarantine_state& state, const platform_reply& reply, time_point now,
    control_actions& actions)
{
    quarantine_record& record = state.record;
    if (!std::exchange(record.has_first_page, true))
    {
        // The pages are no snapshot: the watch covers all changes since the
        // first.
        record.revision = reply.revision;
    }
    const bool is_last = !reply.has_more || reply.entries.empty() ||
                         reply.entries.back().key <= record.after;
    if (!is_last)
    {
        record.after = reply.entries.back().key;
        start_read(state, now, actions);
        return;
    }
    record.has_read = true;
    record.is_listed = true;
    record.next_read_at = now;
}

void handle_read_reply(
    quarantine_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    quarantine_record& record = state.record;
    record.read_call = 0;
    if (reply.status == platform_status::history_lost)
    {
        restart_list(record, now);
        return;
    }
    if (reply.status != platform_status::ok)
    {
        handle_read_failure(record, now, random);
        return;
    }
    record.read_failures = 0;
    apply_entries(state, reply, now, random, actions);
    if (!record.is_listed)
    {
        handle_list(state, reply, now, actions);
        return;
    }
    record.revision = std::max(record.revision, reply.revision);
    record.next_read_at = now + jittered(longest_watch_delay, random);
}

// The rest of the quarantine; zero if there is none.
duration remaining_of(
    const quarantine_state& state, std::uint64_t digest, time_point now)
{
    const auto found = state.quarantined.find(digest);
    return found == state.quarantined.end()
               ? duration::zero()
               : std::max(found->second - now, duration::zero());
}

void start_write_call(
    quarantine_state& state, const platform_call& call, time_point now)
{
    state.record.write_call = call.call_id;
    state.record.write_expires_at = now + call.timeout + overdue_report;
}

void grant_lease(
    quarantine_state& state, std::uint64_t digest, time_point now,
    control_actions& actions)
{
    auto& call = add_call(state, platform_operation::lease_grant, actions);
    call.lease_time = remaining_of(state, digest, now);
    state.record.write_digest = digest;
    state.record.write_lease = 0;
    start_write_call(state, call, now);
}

void write_key(
    quarantine_state& state, time_point now, control_actions& actions)
{
    const std::uint64_t digest = state.record.write_digest;
    const auto remaining_ms = static_cast<std::uint64_t>(
        to_milliseconds(remaining_of(state, digest, now)));
    auto& call = add_call(state, platform_operation::compare_and_swap, actions);
    call.key = key_of(digest);
    call.value = std::to_string(state.wall_clock_ms + remaining_ms);
    call.lease = state.record.write_lease;
    start_write_call(state, call, now);
}

void handle_write_reply(
    quarantine_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    quarantine_record& record = state.record;
    record.write_call = 0;
    if (reply.status == platform_status::ok && record.write_lease == 0 &&
        reply.lease != 0)
    {
        record.write_lease = reply.lease;
        write_key(state, now, actions);
        return;
    }
    // In a conflict another node has recorded it, or an earlier write of this
    // one whose answer was lost.
    if (reply.status == platform_status::ok ||
        reply.status == platform_status::conflict)
    {
        record.unrecorded.erase(record.write_digest);
        return;
    }
    if (const auto found = record.unrecorded.find(record.write_digest);
        found != record.unrecorded.end())
    {
        found->second.due = now + jittered(longest_backoff, random);
    }
}

// Starts the next write that is due and falls to this node.
void start_due_write(
    quarantine_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions)
{
    auto& unrecorded = state.record.unrecorded;
    for (auto entry = unrecorded.begin(); entry != unrecorded.end();)
    {
        auto& [digest, request] = *entry;
        if (now < request.due)
        {
            ++entry;
            continue;
        }
        if (remaining_of(state, digest, now) < shortest_recorded)
        {
            entry = unrecorded.erase(entry);
            continue;
        }
        if (request.is_reporter ||
            is_rendezvous_member(members, key_of(digest), 1))
        {
            grant_lease(state, digest, now, actions);
            return;
        }
        request.due = now + jittered(takeover_interval, random);
        ++entry;
    }
}

} // namespace

void record_later(
    quarantine_state& state, std::uint64_t digest, bool is_reporter,
    time_point now, random_source& random)
{
    const time_point due =
        is_reporter ? now
                    : now + takeover_delay + jittered(takeover_delay, random);
    state.record.unrecorded.insert_or_assign(
        digest, unrecorded_request{due, is_reporter});
}

void tick_record(
    quarantine_state& state, const membership_state& members, time_point now,
    random_source& random, control_actions& actions)
{
    quarantine_record& record = state.record;
    platform_reply lost;
    lost.status = platform_status::unavailable;
    if (record.read_call != 0 && now >= record.read_expires_at)
    {
        handle_read_reply(state, lost, now, random, actions);
    }
    if (record.write_call != 0 && now >= record.write_expires_at)
    {
        handle_write_reply(state, lost, now, random, actions);
    }
    if (record.read_call == 0 && now >= record.next_read_at)
    {
        start_read(state, now, actions);
    }
    if (record.write_call == 0)
    {
        start_due_write(state, members, now, random, actions);
    }
}

void handle_record_reply(
    quarantine_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    if (reply.call_id == 0)
    {
        return;
    }
    if (reply.call_id == state.record.read_call)
    {
        handle_read_reply(state, reply, now, random, actions);
    }
    else if (reply.call_id == state.record.write_call)
    {
        handle_write_reply(state, reply, now, random, actions);
    }
}

void restart_record(
    quarantine_state& state, time_point now, random_source& random)
{
    quarantine_record& record = state.record;
    // Replies to the calls in progress are ignored.
    record.read_call = 0;
    record.write_call = 0;
    record.write_lease = 0;
    record.read_failures = 0;
    restart_list(record, now + jittered(longest_watch_delay, random));
    for (const auto& [digest, ends_at] : state.quarantined)
    {
        if (ends_at - now >= shortest_recorded)
        {
            record_later(state, digest, false, now, random);
        }
    }
}

time_point record_due(const quarantine_record& record)
{
    time_point due =
        record.read_call != 0 ? record.read_expires_at : record.next_read_at;
    if (record.write_call != 0)
    {
        return std::min(due, record.write_expires_at);
    }
    for (const auto& [digest, request] : record.unrecorded)
    {
        due = std::min(due, request.due);
    }
    return due;
}

} // namespace cyclamenhold
