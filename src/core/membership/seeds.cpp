#include "core/membership/seeds.hpp"

#include "core/membership/digests.hpp"
#include "core/membership/member_table.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

constexpr std::string_view seed_prefix = "seed/";
constexpr std::string_view seed_salt = "seed";
constexpr std::uint32_t max_seeds_listed = 256;
constexpr duration check_interval = 500ms;
constexpr duration relist_interval = 30s;
constexpr duration published_relist_delay = 500ms;
constexpr duration max_first_list_delay = 500ms;
constexpr duration isolated_relist_interval = 3s;
constexpr duration configured_seed_interval = 1s;
constexpr duration configured_seed_interval_joined = 30s;
constexpr duration min_backoff = 1s;
constexpr duration max_backoff = 30s;
// Timeout of a call without an answer; longer than the timeout of any platform
// call.
constexpr duration call_timeout = 10s;
// Number of lists that a node without known members of its data centre reads
// before it publishes its entry, if the first list has entries of others.
constexpr std::uint32_t lists_before_publishing = 2;

// Returns a random duration in [span / 2, span * 3 / 2).
duration jittered(duration span, random_source& random)
{
    return span / 2 + from_seconds(to_seconds(span) * random_fraction(random));
}

duration backoff(seed_state& seed, random_source& random)
{
    const std::uint32_t doublings = std::min(seed.failures, 5U);
    ++seed.failures;
    return jittered(
        std::min(min_backoff * (1 << doublings), max_backoff), random);
}

std::string seed_key(const membership_state& state)
{
    std::string key(seed_prefix);
    key += state.settings.data_centre_name;
    key += '/';
    key += to_string(state.settings.self);
    return key;
}

platform_call& add_call(
    membership_state& state, platform_operation operation, seed_phase phase,
    control_actions& actions)
{
    platform_call call;
    call.client = platform_client::membership;
    call.call_id = ++state.seed.call_id;
    call.operation = operation;
    state.seed.phase = phase;
    state.seed.call_expires_at = state.last_tick + call_timeout;
    actions.platform_calls.push_back(std::move(call));
    return actions.platform_calls.back();
}

void list_seeds(membership_state& state, control_actions& actions)
{
    auto& call =
        add_call(state, platform_operation::list, seed_phase::listing, actions);
    call.key = seed_prefix;
    call.limit = max_seeds_listed;
}

void grant_lease(membership_state& state, control_actions& actions)
{
    auto& call = add_call(
        state, platform_operation::lease_grant, seed_phase::granting, actions);
    call.lease_time = state.settings.seed_lease_time;
}

void write_entry(membership_state& state, control_actions& actions)
{
    auto& call = add_call(
        state, platform_operation::compare_and_swap, seed_phase::writing,
        actions);
    call.key = seed_key(state);
    call.value = to_string(state.settings.self);
    call.expected_version = state.seed.entry_version;
    call.lease = state.seed.lease;
}

void renew_lease(membership_state& state, control_actions& actions)
{
    auto& call = add_call(
        state, platform_operation::lease_renew, seed_phase::renewing, actions);
    call.lease = state.seed.lease;
}

void revoke_lease(membership_state& state, control_actions& actions)
{
    auto& call = add_call(
        state, platform_operation::lease_revoke, seed_phase::revoking, actions);
    call.lease = state.seed.lease;
    state.seed.published = false;
    state.seed.lease = 0;
    state.seed.entry_version = 0;
}

bool has_known_members(const membership_state& state)
{
    return !state.targets.local.empty() || !state.targets.remote.empty();
}

bool is_entry_needed(const membership_state& state)
{
    if (state.leaving || state.seed.lists_done == 0)
    {
        return false;
    }
    // A node that has listed others joins them first.
    if (state.targets.local.empty() && state.seed.others_listed > 0 &&
        state.seed.lists_done < lists_before_publishing)
    {
        return false;
    }
    return is_rendezvous_member(state, seed_salt, state.settings.seed_count);
}

bool is_list_needed(const membership_state& state)
{
    return !state.leaving &&
           (!has_known_members(state) ||
            is_rendezvous_member(state, seed_salt, state.settings.seed_count));
}

void contact_if_unknown(
    membership_state& state, host_id host, time_point now,
    control_actions& actions)
{
    const auto found = state.members.find(host);
    const bool is_known =
        found != state.members.end() && is_present(found->second.state);
    if (host != state.settings.self && !is_known)
    {
        send_digest(state, host, false, now, actions);
    }
}

// Contacts a random seed address of the settings when the interval has elapsed.
void contact_configured_seed(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    const auto& seeds = state.settings.seeds;
    if (seeds.empty() || now < state.seed.next_address_at)
    {
        return;
    }
    const duration interval = has_known_members(state)
                                  ? configured_seed_interval_joined
                                  : configured_seed_interval;
    state.seed.next_address_at = now + jittered(interval, random);
    contact_if_unknown(
        state, seeds[random_below(random, seeds.size())], now, actions);
}

void handle_seed_list(
    membership_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    ++state.seed.lists_done;
    state.seed.others_listed = 0;
    for (const auto& entry : reply.entries)
    {
        if (const auto host = parse_host_id(entry.value); host.has_value())
        {
            state.seed.others_listed += *host == state.settings.self ? 0 : 1;
            contact_if_unknown(state, *host, now, actions);
        }
    }
    if (state.seed.others_listed == 0)
    {
        // The entry of the first node is what the others find.
        state.seed.next_check_at = now;
    }
    const duration pause =
        has_known_members(state) ? relist_interval : isolated_relist_interval;
    state.seed.next_list_at = now + jittered(pause, random);
}

void handle_lease_grant(
    membership_state& state, const platform_reply& reply,
    control_actions& actions)
{
    state.seed.lease = reply.lease;
    write_entry(state, actions);
}

void handle_entry_written(
    membership_state& state, const platform_reply& reply, time_point now,
    random_source& random)
{
    state.seed.published = true;
    state.seed.entry_version =
        reply.entries.empty() ? 0 : reply.entries.front().version;
    state.seed.next_lease_at =
        now + jittered(state.settings.seed_lease_time / 3, random);
    if (state.seed.lists_done < lists_before_publishing)
    {
        // Others may have published theirs at the same time.
        state.seed.next_list_at =
            now + jittered(published_relist_delay, random);
    }
}

// Overwrites an entry under another lease, left by an earlier incarnation or by
// a write whose answer was lost.
void handle_write_conflict(
    membership_state& state, const platform_reply& reply,
    control_actions& actions)
{
    state.seed.entry_version =
        reply.entries.empty() ? 0 : reply.entries.front().version;
    write_entry(state, actions);
}

void handle_call_failure(
    membership_state& state, seed_phase phase, time_point now,
    random_source& random)
{
    seed_state& seed = state.seed;
    if (phase != seed_phase::listing && phase != seed_phase::renewing)
    {
        // A granted lease expires in the platform without renewal.
        seed.lease = 0;
        seed.published = false;
    }
    const time_point again = now + backoff(seed, random);
    seed.next_lease_at = std::max(seed.next_lease_at, again);
    seed.next_list_at = std::max(seed.next_list_at, again);
}

void maintain_entry(
    membership_state& state, time_point now, control_actions& actions)
{
    const bool is_needed = is_entry_needed(state);
    if (!is_needed && state.seed.lease != 0)
    {
        revoke_lease(state, actions);
        return;
    }
    if (!is_needed || now < state.seed.next_lease_at)
    {
        return;
    }
    if (state.seed.published)
    {
        renew_lease(state, actions);
        return;
    }
    grant_lease(state, actions);
}

} // namespace

void start_seeds(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    state.seed = {};
    state.seed.next_list_at =
        now + from_seconds(
                  to_seconds(max_first_list_delay) * random_fraction(random));
    state.seed.next_address_at = now;
    contact_configured_seed(state, now, random, actions);
}

void tick_seeds(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    contact_configured_seed(state, now, random, actions);
    if (state.seed.phase != seed_phase::idle &&
        now >= state.seed.call_expires_at)
    {
        handle_call_failure(state, state.seed.phase, now, random);
        state.seed.phase = seed_phase::idle;
    }
    if (state.seed.phase != seed_phase::idle || now < state.seed.next_check_at)
    {
        return;
    }
    // The rendezvous ranking iterates over all members, so it is not done on
    // each tick. The first list is not delayed: nodes that start together read
    // it at different times, and the later ones find the entries of the others.
    state.seed.next_check_at =
        state.seed.lists_done == 0
            ? std::clamp(state.seed.next_list_at, now, now + check_interval)
            : now + check_interval;
    if (now >= state.seed.next_list_at && is_list_needed(state))
    {
        list_seeds(state, actions);
        return;
    }
    maintain_entry(state, now, actions);
}

void handle_seed_reply(
    membership_state& state, const platform_reply& reply, time_point now,
    random_source& random, control_actions& actions)
{
    seed_state& seed = state.seed;
    if (reply.call_id != seed.call_id || seed.phase == seed_phase::idle)
    {
        return;
    }
    const seed_phase phase = seed.phase;
    seed.phase = seed_phase::idle;
    if (phase == seed_phase::revoking)
    {
        return;
    }
    if (phase == seed_phase::writing &&
        reply.status == platform_status::conflict)
    {
        handle_write_conflict(state, reply, actions);
        return;
    }
    if (reply.status == platform_status::lease_expired)
    {
        seed.lease = 0;
        seed.published = false;
        seed.entry_version = 0;
        seed.next_lease_at = now;
        return;
    }
    if (reply.status != platform_status::ok)
    {
        handle_call_failure(state, phase, now, random);
        return;
    }
    seed.failures = 0;
    switch (phase)
    {
    case seed_phase::listing:
        handle_seed_list(state, reply, now, random, actions);
        return;
    case seed_phase::granting:
        handle_lease_grant(state, reply, actions);
        return;
    case seed_phase::writing:
        handle_entry_written(state, reply, now, random);
        return;
    case seed_phase::renewing:
        seed.next_lease_at =
            now + jittered(state.settings.seed_lease_time / 3, random);
        return;
    case seed_phase::idle:
    case seed_phase::revoking:
        return;
    }
}

void restart_seeds(
    membership_state& state, time_point now, random_source& random)
{
    seed_state& seed = state.seed;
    // A reply to the call in progress is ignored.
    seed.phase = seed_phase::idle;
    ++seed.call_id;
    seed.lease = 0;
    seed.published = false;
    seed.entry_version = 0;
    seed.failures = 0;
    const duration delay = from_seconds(
        to_seconds(max_first_list_delay) * random_fraction(random));
    seed.next_lease_at = now + delay;
    seed.next_list_at = now + delay;
}

void revoke_seed_entry(membership_state& state, control_actions& actions)
{
    if (state.seed.lease != 0)
    {
        revoke_lease(state, actions);
    }
}

} // namespace cyclamenhold
