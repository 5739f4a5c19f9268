#include "core/configuration/chain_apply.hpp"

#include "core/intent/configuration_json.hpp"
#include "core/intent/operations.hpp"

#include <algorithm>

namespace cyclamenhold
{
namespace
{

constexpr std::size_t max_recent_changes = 256;
constexpr std::size_t max_recent_size = 1'000'000;

void emit(control_actions& actions, event_kind kind, std::string detail)
{
    event happened;
    happened.kind = kind;
    happened.detail = std::move(detail);
    actions.events.push_back(std::move(happened));
}

// Emits one event per rejected revision, however often it is received.
apply_result reject(
    chain_state& state, std::uint64_t revision, const std::string& reason,
    control_actions& actions)
{
    if (state.rejected_revision != revision)
    {
        state.rejected_revision = revision;
        emit(
            actions, event_kind::configuration_rejected,
            "revision " + std::to_string(revision) + ": " + reason);
    }
    return apply_result::rejected;
}

void set_current(
    chain_state& state, std::shared_ptr<const configuration> next,
    std::uint64_t chain_hash, time_point now, control_actions& actions)
{
    for (const auto& id : newly_withdrawn_keys(*state.current, *next))
    {
        emit(actions, event_kind::key_withdrawn, id);
    }
    state.current = std::move(next);
    state.chain_hash = chain_hash;
    state.applied_at = now;
    emit(
        actions, event_kind::configuration_applied,
        "revision " + std::to_string(state.current->revision));
}

void append_recent(chain_state& state, const chain_change& change)
{
    state.recent.push_back(change);
    std::size_t size = 0;
    std::size_t kept = 0;
    for (auto place = state.recent.rbegin(); place != state.recent.rend();
         ++place)
    {
        size += place->operations.size();
        if (size > max_recent_size || kept == max_recent_changes)
        {
            break;
        }
        ++kept;
    }
    while (state.recent.size() > std::max<std::size_t>(kept, 1))
    {
        state.recent.pop_front();
    }
}

} // namespace

apply_result apply_change(
    chain_state& state, const chain_change& change, time_point now,
    control_actions& actions)
{
    if (change.revision <= state.current->revision)
    {
        return apply_result::already_applied;
    }
    if (change.revision > state.current->revision + 1)
    {
        return apply_result::gap;
    }
    if (change.previous != state.chain_hash)
    {
        return reject(
            state, change.revision,
            "its previous hash does not match the current revision", actions);
    }
    const auto parsed = parse_operations(change.operations);
    if (!parsed.found.empty())
    {
        return reject(state, change.revision, to_string(parsed.found), actions);
    }
    auto next = std::make_shared<configuration>(*state.current);
    if (const auto found = apply_operations(*next, parsed.operations);
        !found.empty())
    {
        return reject(state, change.revision, to_string(found), actions);
    }
    next->revision = change.revision;
    set_current(state, std::move(next), hash_after(change), now, actions);
    append_recent(state, change);
    return apply_result::applied;
}

apply_result apply_snapshot(
    chain_state& state, const snapshot_head& head, const std::string& text,
    time_point now, control_actions& actions)
{
    if (head.revision <= state.current->revision)
    {
        return apply_result::already_applied;
    }
    findings found;
    auto next = parse_configuration(text, found);
    if (!next.has_value() || next->revision != head.revision)
    {
        return reject(
            state, head.revision, "malformed snapshot: " + to_string(found),
            actions);
    }
    state.recent.clear();
    set_current(
        state, std::make_shared<const configuration>(std::move(*next)),
        head.chain, now, actions);
    return apply_result::applied;
}

bool add_snapshot_part(
    incoming_snapshot& snapshot, std::uint32_t part, std::string bytes)
{
    if (part >= snapshot.parts.size())
    {
        return false;
    }
    snapshot.parts[part] = std::move(bytes);
    return std::ranges::none_of(
        snapshot.parts,
        [](const std::string& text)
        {
            return text.empty();
        });
}

std::string join_parts(const incoming_snapshot& snapshot)
{
    std::string text;
    for (const auto& part : snapshot.parts)
    {
        text += part;
    }
    return text;
}

const chain_change*
find_operation(const chain_state& state, const std::string& operation_id)
{
    const auto found = std::ranges::find(
        state.recent, operation_id, &chain_change::operation_id);
    return found == state.recent.end() ? nullptr : &*found;
}

std::string describe_change(const chain_change& change)
{
    const auto parsed = parse_operations(change.operations);
    return "revision " + std::to_string(change.revision) + ": " +
           summary_of(parsed.operations);
}

} // namespace cyclamenhold
