#include "core/configuration/chain_commits.hpp"

#include "core/configuration/chain_platform.hpp"
#include "core/intent/operations.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

// A commit without a result by then ends as unknown.
constexpr duration commit_timeout = 8s;
constexpr std::size_t max_changes_described = 5;

void finish(
    chain_state& state, commit_token token, commit_status status,
    std::uint64_t revision, std::string detail)
{
    state.commits.erase(token);
    state.results.push_back({token, status, revision, std::move(detail)});
}

std::string
describe_changes_after(const chain_state& state, std::uint64_t revision)
{
    std::string text;
    std::size_t described = 0;
    for (const auto& change : state.recent)
    {
        if (change.revision <= revision)
        {
            continue;
        }
        if (described++ == max_changes_described)
        {
            return text + "; and more";
        }
        text += text.empty() ? "" : "; ";
        text += describe_change(change);
    }
    if (text.empty())
    {
        text = "revision " + std::to_string(state.current->revision) +
               " is the current one";
    }
    return text;
}

// Finishes a commit whose result follows from the recent changes. Returns true
// if it did.
bool finish_if_decided(
    chain_state& state, commit_token token, pending_commit& pending)
{
    const std::uint64_t base = pending.change.revision - 1;
    if (const auto* done = find_operation(state, pending.change.operation_id);
        done != nullptr)
    {
        finish(state, token, commit_status::committed, done->revision, "");
        return true;
    }
    if (state.current->revision <= base)
    {
        return false;
    }
    const bool has_changes_since_base =
        !state.recent.empty() && state.recent.front().revision <= base + 1;
    if (!has_changes_since_base)
    {
        pending.step = commit_step::resolving;
        return false;
    }
    finish(
        state, token, commit_status::conflict, state.current->revision,
        describe_changes_after(state, base));
    return true;
}

bool is_valid(
    chain_state& state, commit_token token, const chain_change& change)
{
    auto parsed = parse_operations(change.operations);
    if (parsed.found.empty())
    {
        configuration copy = *state.current;
        parsed.found = apply_operations(copy, parsed.operations);
    }
    if (!parsed.found.empty())
    {
        finish(
            state, token, commit_status::invalid, state.current->revision,
            to_string(parsed.found));
        return false;
    }
    return true;
}

void read_key(
    chain_state& state, commit_token token, const std::string& key,
    pending_commit& pending, control_actions& actions)
{
    auto& call = add_chain_call(
        state, platform_client::intent, platform_operation::get,
        {chain_call_kind::commit_check, token, {}}, actions);
    call.key = key;
    pending.in_flight = true;
}

void write_change(
    chain_state& state, commit_token token, pending_commit& pending,
    control_actions& actions)
{
    auto& call = add_chain_call(
        state, platform_client::intent, platform_operation::compare_and_swap,
        {chain_call_kind::commit_write, token, {}}, actions);
    call.key = change_key(pending.change.revision);
    call.value = to_value(pending.change);
    pending.in_flight = true;
    pending.maybe_written = true;
}

// Starts the next call of a commit that has none in flight.
void advance_commit(
    chain_state& state, commit_token token, pending_commit& pending,
    control_actions& actions)
{
    if (finish_if_decided(state, token, pending))
    {
        return;
    }
    const std::uint64_t base = pending.change.revision - 1;
    if (pending.step == commit_step::resolving)
    {
        read_key(state, token, change_key(base + 1), pending, actions);
        return;
    }
    if (pending.step == commit_step::catching_up)
    {
        if (state.current->revision < base)
        {
            read_key(
                state, token, change_key(state.current->revision + 1), pending,
                actions);
            return;
        }
        if (!is_valid(state, token, pending.change))
        {
            return;
        }
        pending.change.previous = state.chain_hash;
        pending.step = commit_step::checking;
    }
    if (pending.step == commit_step::checking)
    {
        // Old changes are deleted from the platform. Without its base, the key
        // of the next revision may be absent only because it was deleted, so
        // a write could succeed wrongly.
        read_key(
            state, token,
            base == 0 ? std::string(snapshot_head_key) : change_key(base),
            pending, actions);
        return;
    }
    write_change(state, token, pending, actions);
}

void apply_missing_change(
    chain_state& state, const platform_reply& reply, time_point now,
    control_actions& actions)
{
    if (reply.entries.empty())
    {
        return;
    }
    const auto change = parse_change(reply.entries.front().value);
    if (change.has_value())
    {
        apply_change(state, *change, now, actions);
    }
}

void handle_base_reply(
    chain_state& state, commit_token token, pending_commit& pending,
    const platform_reply& reply, control_actions& actions)
{
    const bool is_first = pending.change.revision == 1;
    const bool is_base_intact = is_first == reply.entries.empty();
    if (!is_base_intact)
    {
        finish(
            state, token, commit_status::conflict, state.current->revision,
            "the base revision is too old to check; make a new plan");
        return;
    }
    pending.step = commit_step::writing;
    advance_commit(state, token, pending, actions);
}

// Finishes a commit whose revision is taken by another change, or by an earlier
// write of this same change.
void resolve_conflict(
    chain_state& state, commit_token token, const platform_reply& reply,
    time_point now, control_actions& actions)
{
    const pending_commit pending = state.commits.at(token);
    const auto present = reply.entries.empty()
                             ? std::nullopt
                             : parse_change(reply.entries.front().value);
    if (!present.has_value())
    {
        finish(
            state, token, commit_status::conflict, state.current->revision,
            "the base revision is too old to check; make a new plan");
        return;
    }
    apply_change(state, *present, now, actions);
    const bool is_own = present->operation_id == pending.change.operation_id;
    finish(
        state, token,
        is_own ? commit_status::committed : commit_status::conflict,
        present->revision, is_own ? "" : describe_change(*present));
}

void handle_write_reply(
    chain_state& state, commit_token token, const platform_reply& reply,
    time_point now, control_actions& actions)
{
    if (reply.status != platform_status::ok)
    {
        resolve_conflict(state, token, reply, now, actions);
        return;
    }
    const chain_change change = state.commits.at(token).change;
    apply_change(state, change, now, actions);
    finish(state, token, commit_status::committed, change.revision, "");
}

void retry_later(pending_commit& pending, time_point now, random_source& random)
{
    pending.retry_at = now + chain_backoff(pending.failures, random);
    ++pending.failures;
}

} // namespace

void start_commit(
    chain_state& state, commit_token token, const chain_change& change,
    time_point now, control_actions& actions)
{
    pending_commit& pending = state.commits[token];
    pending = {};
    pending.change = change;
    pending.deadline = now + commit_timeout;
    pending.retry_at = now;
    advance_commit(state, token, pending, actions);
}

void tick_commits(chain_state& state, time_point now, control_actions& actions)
{
    std::vector<commit_token> tokens;
    for (const auto& item : state.commits)
    {
        tokens.push_back(item.first);
    }
    for (const commit_token token : tokens)
    {
        pending_commit& pending = state.commits.at(token);
        if (now >= pending.deadline)
        {
            finish(
                state, token, commit_status::unknown, 0,
                pending.maybe_written
                    ? "the platform did not answer; the change may be in the "
                      "chain, retry it"
                    : "the platform did not answer; nothing was written");
            continue;
        }
        if (!pending.in_flight && now >= pending.retry_at)
        {
            advance_commit(state, token, pending, actions);
        }
    }
}

time_point commits_due(const chain_state& state)
{
    time_point due = time_point::max();
    for (const auto& item : state.commits)
    {
        const pending_commit& pending = item.second;
        due = std::min(due, pending.deadline);
        if (!pending.in_flight)
        {
            due = std::min(due, pending.retry_at);
        }
    }
    return due;
}

void handle_commit_reply(
    chain_state& state, const chain_call& call, const platform_reply& reply,
    time_point now, random_source& random, control_actions& actions)
{
    const auto found = state.commits.find(call.token);
    if (found == state.commits.end())
    {
        return;
    }
    pending_commit& pending = found->second;
    pending.in_flight = false;
    if (reply.status == platform_status::unavailable ||
        reply.status == platform_status::rejected)
    {
        retry_later(pending, now, random);
        return;
    }
    if (call.kind == chain_call_kind::commit_write)
    {
        handle_write_reply(state, call.token, reply, now, actions);
        return;
    }
    if (pending.step == commit_step::resolving)
    {
        resolve_conflict(state, call.token, reply, now, actions);
        return;
    }
    if (pending.step == commit_step::checking)
    {
        handle_base_reply(state, call.token, pending, reply, actions);
        return;
    }
    const std::uint64_t before = state.current->revision;
    apply_missing_change(state, reply, now, actions);
    if (state.current->revision == before)
    {
        retry_later(pending, now, random);
        return;
    }
    advance_commit(state, call.token, pending, actions);
}

} // namespace cyclamenhold
