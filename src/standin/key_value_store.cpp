#include "standin/key_value_store.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cyclamenhold
{
namespace
{

platform_reply reply_to(const platform_call& call, platform_status status)
{
    platform_reply reply;
    reply.client = call.client;
    reply.call_id = call.call_id;
    reply.status = status;
    reply.lease = call.lease;
    return reply;
}

void answer_at(
    key_value_store& store, time_point due, store_caller caller,
    platform_reply reply)
{
    reply.revision = store.revision;
    reply.era = store.era;
    store.answers.emplace(due, store_answer{caller, std::move(reply)});
}

bool is_within_rate_limit(key_value_store& store, time_point now)
{
    if (store.faults.calls_per_second == 0)
    {
        return true;
    }
    if (now - store.rate_window_start >= 1s)
    {
        store.rate_window_start = now;
        store.calls_in_window = 0;
    }
    return ++store.calls_in_window <= store.faults.calls_per_second;
}

// The first entries with this prefix that follow the key `after` and are newer
// than `version`.
std::vector<platform_entry> entries_newer_than(
    const key_value_store& store, const std::string& prefix,
    const std::string& after, std::uint64_t version, std::uint32_t limit)
{
    std::vector<platform_entry> entries;
    for (auto position = after.empty() ? store.values.lower_bound(prefix)
                                       : store.values.upper_bound(after);
         position != store.values.end() && entries.size() < limit; ++position)
    {
        const auto& [key, stored] = *position;
        if (!key.starts_with(prefix))
        {
            break;
        }
        if (stored.version > version)
        {
            entries.push_back({key, stored.value, stored.version});
        }
    }
    return entries;
}

void remove_lease(key_value_store& store, std::uint64_t lease)
{
    store.leases.erase(lease);
    const auto removed = std::erase_if(
        store.values,
        [lease](const auto& item)
        {
            return item.second.lease == lease;
        });
    if (removed > 0)
    {
        ++store.revision;
    }
}

void expire_leases(key_value_store& store, time_point now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, lease] : store.leases)
    {
        if (lease.expires_at <= now)
        {
            expired.push_back(id);
        }
    }
    for (const std::uint64_t id : expired)
    {
        remove_lease(store, id);
        ++store.counts.expired_leases;
    }
}

platform_reply
get_value(const key_value_store& store, const platform_call& call)
{
    const auto found = store.values.find(call.key);
    if (found == store.values.end())
    {
        return reply_to(call, platform_status::not_found);
    }
    auto reply = reply_to(call, platform_status::ok);
    reply.entries.push_back(
        {call.key, found->second.value, found->second.version});
    return reply;
}

platform_reply
conflict_with(const key_value_store& store, const platform_call& call)
{
    auto reply = get_value(store, call);
    reply.status = platform_status::conflict;
    return reply;
}

std::uint64_t version_of(const key_value_store& store, const std::string& key)
{
    const auto found = store.values.find(key);
    return found == store.values.end() ? 0 : found->second.version;
}

platform_reply swap_value(key_value_store& store, const platform_call& call)
{
    if (call.key.empty() || call.key.size() > max_store_key_size ||
        call.value.size() > max_store_value_size)
    {
        return reply_to(call, platform_status::rejected);
    }
    if (call.lease != 0 && !store.leases.contains(call.lease))
    {
        return reply_to(call, platform_status::lease_expired);
    }
    if (version_of(store, call.key) != call.expected_version)
    {
        return conflict_with(store, call);
    }
    store.values[call.key] = {call.value, ++store.revision, call.lease};
    return get_value(store, call);
}

platform_reply delete_value(key_value_store& store, const platform_call& call)
{
    const std::uint64_t version = version_of(store, call.key);
    if (version == 0)
    {
        return reply_to(call, platform_status::not_found);
    }
    if (version != call.expected_version)
    {
        return conflict_with(store, call);
    }
    store.values.erase(call.key);
    ++store.revision;
    return reply_to(call, platform_status::ok);
}

platform_reply
grant_lease(key_value_store& store, const platform_call& call, time_point now)
{
    if (call.lease_time <= duration::zero())
    {
        return reply_to(call, platform_status::rejected);
    }
    auto reply = reply_to(call, platform_status::ok);
    reply.lease = store.next_lease++;
    store.leases[reply.lease] = {call.lease_time, now + call.lease_time};
    return reply;
}

platform_reply
renew_lease(key_value_store& store, const platform_call& call, time_point now)
{
    const auto found = store.leases.find(call.lease);
    if (found == store.leases.end())
    {
        return reply_to(call, platform_status::lease_expired);
    }
    found->second.expires_at = now + found->second.lease_time;
    return reply_to(call, platform_status::ok);
}

platform_reply
execute(key_value_store& store, const platform_call& call, time_point now)
{
    switch (call.operation)
    {
    case platform_operation::get:
        return get_value(store, call);
    case platform_operation::compare_and_swap:
        return swap_value(store, call);
    case platform_operation::compare_and_delete:
        return delete_value(store, call);
    case platform_operation::lease_grant:
        return grant_lease(store, call, now);
    case platform_operation::lease_renew:
        return renew_lease(store, call, now);
    case platform_operation::lease_revoke:
        remove_lease(store, call.lease);
        return reply_to(call, platform_status::ok);
    case platform_operation::list:
    case platform_operation::watch:
        break;
    }
    auto reply = reply_to(call, platform_status::ok);
    if (call.operation == platform_operation::watch)
    {
        reply.entries = entries_newer_than(
            store, call.key, {}, call.expected_version, call.limit);
        return reply;
    }
    // One entry beyond the page shows that more follow.
    reply.entries =
        entries_newer_than(store, call.key, call.after, 0, call.limit + 1);
    reply.has_more = reply.entries.size() > call.limit;
    if (reply.has_more)
    {
        reply.entries.pop_back();
    }
    return reply;
}

bool should_lose_answer(key_value_store& store, platform_operation operation)
{
    if (!is_store_write(operation))
    {
        return false;
    }
    if (store.faults.lose_next_answers > 0)
    {
        --store.faults.lose_next_answers;
        return true;
    }
    return store.faults.lose_answer_probability > 0.0 &&
           random_fraction(store.random) < store.faults.lose_answer_probability;
}

void answer_unavailable(
    key_value_store& store, const pending_call& pending, time_point due)
{
    answer_at(
        store, due, pending.caller,
        reply_to(pending.call, platform_status::unavailable));
}

// Queues the answer to a call, or `unavailable` if a fault loses the answer or
// delays it past the call's timeout.
void deliver_reply(
    key_value_store& store, const pending_call& pending, platform_reply reply,
    time_point now)
{
    const time_point timeout_at = pending.received_at + pending.call.timeout;
    const time_point due = now + store.faults.delay / 2;
    if (should_lose_answer(store, pending.call.operation))
    {
        ++store.counts.lost_answers;
        answer_unavailable(store, pending, std::max(now, timeout_at));
        return;
    }
    if (pending.call.operation != platform_operation::watch && due > timeout_at)
    {
        answer_unavailable(store, pending, std::max(now, timeout_at));
        return;
    }
    answer_at(store, due, pending.caller, std::move(reply));
}

// Answers the watches that match a changed key.
void notify_watches(key_value_store& store, time_point now)
{
    for (auto position = store.watches.begin();
         position != store.watches.end();)
    {
        const pending_call& watch = position->second;
        auto reply = execute(store, watch.call, now);
        if (reply.entries.empty())
        {
            ++position;
            continue;
        }
        deliver_reply(store, watch, std::move(reply), now);
        position = store.watches.erase(position);
    }
}

void execute_pending(
    key_value_store& store, const pending_call& pending, time_point now)
{
    expire_leases(store, now);
    const std::uint64_t before = store.revision;
    auto reply = execute(store, pending.call, now);
    if (pending.call.operation == platform_operation::watch &&
        reply.entries.empty() && pending.call.wait > duration::zero())
    {
        store.watches.emplace(pending.received_at + pending.call.wait, pending);
        return;
    }
    deliver_reply(store, pending, std::move(reply), now);
    if (store.revision != before)
    {
        notify_watches(store, now);
    }
}

// Answers the watches whose wait has ended, or all watches with `unavailable`
// when the store is down.
void expire_watches(key_value_store& store, time_point now)
{
    while (!store.watches.empty())
    {
        const auto first = store.watches.begin();
        if (!store.faults.down && first->first > now)
        {
            return;
        }
        const pending_call watch = first->second;
        store.watches.erase(first);
        if (store.faults.down)
        {
            answer_unavailable(store, watch, now);
            continue;
        }
        deliver_reply(
            store, watch, reply_to(watch.call, platform_status::ok), now);
    }
}

} // namespace

void store_call(
    key_value_store& store, store_caller caller, const platform_call& call,
    time_point now)
{
    ++store.counts.by_operation[static_cast<std::size_t>(call.operation)];
    const pending_call pending{caller, call, now};
    if (store.faults.down)
    {
        answer_unavailable(store, pending, now + call.timeout);
        return;
    }
    if (!is_within_rate_limit(store, now))
    {
        ++store.counts.rejected;
        answer_at(
            store, now, caller, reply_to(call, platform_status::rejected));
        return;
    }
    if (store.faults.delay > duration::zero())
    {
        store.in_transit.emplace(now + store.faults.delay / 2, pending);
        return;
    }
    execute_pending(store, pending, now);
}

std::vector<store_answer> store_poll(key_value_store& store, time_point now)
{
    expire_leases(store, now);
    while (!store.in_transit.empty() && store.in_transit.begin()->first <= now)
    {
        const auto [at, pending] = *store.in_transit.begin();
        store.in_transit.erase(store.in_transit.begin());
        if (store.faults.down)
        {
            answer_unavailable(
                store, pending,
                std::max(now, pending.received_at + pending.call.timeout));
            continue;
        }
        execute_pending(store, pending, at);
    }
    expire_watches(store, now);
    std::vector<store_answer> due;
    const auto end = store.answers.upper_bound(now);
    for (auto position = store.answers.begin(); position != end; ++position)
    {
        due.push_back(std::move(position->second));
    }
    store.answers.erase(store.answers.begin(), end);
    return due;
}

time_point store_due(const key_value_store& store)
{
    time_point due = time_point::max();
    for (const auto* queue : {&store.in_transit, &store.watches})
    {
        if (!queue->empty())
        {
            due = std::min(due, queue->begin()->first);
        }
    }
    if (!store.answers.empty())
    {
        due = std::min(due, store.answers.begin()->first);
    }
    return due;
}

void store_drop_caller(key_value_store& store, store_caller caller)
{
    const auto of_caller = [caller](const auto& item)
    {
        return item.second.caller == caller;
    };
    std::erase_if(store.watches, of_caller);
    std::erase_if(store.answers, of_caller);
    std::erase_if(
        store.in_transit,
        [&](const auto& item)
        {
            return of_caller(item) &&
                   !is_store_write(item.second.call.operation);
        });
}

void store_expire_lease(
    key_value_store& store, std::uint64_t lease, time_point now)
{
    const auto found = store.leases.find(lease);
    if (found == store.leases.end())
    {
        return;
    }
    found->second.expires_at = now;
    expire_leases(store, now);
}

void store_expire_all_leases(key_value_store& store, time_point now)
{
    for (auto& [id, lease] : store.leases)
    {
        lease.expires_at = now;
    }
    expire_leases(store, now);
}

store_copy take_copy(const key_value_store& store)
{
    return {store.revision, store.values, store.next_lease};
}

void store_go_back(
    key_value_store& store, const store_copy& copy, time_point now)
{
    store.revision = copy.revision;
    store.values = copy.values;
    std::erase_if(
        store.values,
        [](const auto& item)
        {
            return item.second.lease != 0;
        });
    store.leases.clear();
    store.next_lease = copy.next_lease;
    ++store.era;
    for (const auto& [end, watch] : std::exchange(store.watches, {}))
    {
        answer_unavailable(store, watch, now);
    }
}

std::uint64_t store_call_count(const key_value_store& store)
{
    return std::accumulate(
        store.counts.by_operation.begin(), store.counts.by_operation.end(),
        std::uint64_t{0});
}

std::uint64_t
store_call_count(const key_value_store& store, platform_operation operation)
{
    return store.counts.by_operation[static_cast<std::size_t>(operation)];
}

} // namespace cyclamenhold
