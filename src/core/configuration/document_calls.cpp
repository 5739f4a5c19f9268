#include "core/configuration/document_calls.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

// A connection or a platform that falls silent is detected only by a time
// limit. The longest watch, the backoff and the next call together stay below
// the time within which a node that has recovered must have the newest version.
constexpr duration first_read_timeout = 1s;
// For a platform that is too slow for the first limit.
constexpr duration later_read_timeout = 1'500ms;
// Added to the wait time of a watch, with the delay of the last answer.
constexpr duration watch_grace = 500ms;
constexpr duration max_answer_delay = 1s;
// The wait time of a watch after a failed call.
constexpr duration recheck_time = 50ms;
constexpr duration longest_backoff = 1s;
// A node that follows watchers waits longer by up to this after its second
// failed call, so that its parent can have a proof before it calls: the calls
// of all followers fail together when the platform does.
constexpr duration follower_spread = 1'500ms;
constexpr std::uint32_t failures_before_spread = 2;
// After the time limit of a call the client must have reported its failure.
constexpr duration overdue_report = 500ms;

duration read_timeout(const document_state& state)
{
    return state.failures < 2 ? first_read_timeout : later_read_timeout;
}

// Returns a random duration in [bound / 2, bound).
duration jittered(duration bound, random_source& random)
{
    return bound / 2 +
           from_seconds(to_seconds(bound / 2) * random_fraction(random));
}

duration watch_time_of(const document_state& state, bool is_long_watch)
{
    if (state.is_document_absent && is_long_watch)
    {
        return state.settings.watch_time;
    }
    if (!is_long_watch || !state.watchers.is_watcher)
    {
        return recheck_time;
    }
    return state.watchers.has_followers
               ? std::min(watcher_watch_time, state.settings.watch_time)
               : state.settings.watch_time;
}

} // namespace

void start_document_call(
    document_state& state, time_point now, control_actions& actions)
{
    const bool lists_evacuations = !state.settings.evacuation_prefix.empty();
    state.is_list = state.listed_revision == 0 &&
                    (lists_evacuations || state.is_document_absent);
    state.is_watch = !state.is_list && state.platform_revision != 0;
    const bool is_long_watch = state.is_watch && state.failures == 0;
    platform_call call;
    call.client = platform_client::configuration;
    call.call_id = ++state.last_call_id;
    call.operation = state.is_list    ? platform_operation::list
                     : state.is_watch ? platform_operation::watch
                                      : platform_operation::get;
    call.key =
        state.is_list ? (lists_evacuations ? state.settings.evacuation_prefix
                                           : state.settings.key)
        : state.is_watch && lists_evacuations ? state.settings.operator_prefix
                                              : state.settings.key;
    call.timeout =
        is_long_watch ? watch_grace + state.answer_delay : read_timeout(state);
    if (state.is_watch)
    {
        call.expected_version = state.platform_revision;
        call.wait = watch_time_of(state, is_long_watch);
    }
    state.call_id = call.call_id;
    state.call_started_at = now;
    state.call_wait = call.wait;
    state.call_expires_at = now + call.wait + call.timeout + overdue_report;
    actions.platform_calls.push_back(std::move(call));
}

void record_document_answer(
    document_state& state, const platform_reply& reply, time_point now)
{
    state.failures = 0;
    state.answered_at = now;
    // An answer with changes comes at any time within the wait of a watch and
    // shows no delay.
    if (!state.is_watch || reply.entries.empty())
    {
        state.answer_delay = std::clamp(
            now - state.call_started_at - state.call_wait, duration::zero(),
            max_answer_delay);
    }
}

void schedule_retry(
    document_state& state, time_point now, random_source& random)
{
    const std::uint32_t doublings = std::min(state.failures, 4U);
    ++state.failures;
    const duration bound =
        std::min(shortest_document_backoff * (1 << doublings), longest_backoff);
    // A call that was out for long has already kept the node from calling.
    state.next_call_at = std::max(
        now + jittered(shortest_document_backoff, random),
        state.call_started_at + jittered(bound, random));
    if (!state.watchers.is_watcher && !state.text.empty() &&
        state.failures >= failures_before_spread)
    {
        state.next_call_at +=
            from_seconds(to_seconds(follower_spread) * random_fraction(random));
    }
}

} // namespace cyclamenhold
