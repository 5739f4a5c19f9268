#include "core/configuration/document_apply.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenhold
{
namespace
{

void emit(control_actions& actions, event_kind kind, std::string detail)
{
    event new_event;
    new_event.kind = kind;
    new_event.detail = std::move(detail);
    actions.events.push_back(std::move(new_event));
}

// The first findings, and how many there are.
std::string summary_of(const findings& found)
{
    constexpr std::size_t max_listed = 8;
    const std::size_t listed = std::min(found.size(), max_listed);
    return std::to_string(found.size()) + " findings; " +
           to_string(findings(
               found.begin(), found.begin() + static_cast<int>(listed)));
}

void set_current(
    document_state& state, chain_state& chain, configuration next,
    std::string_view text, const std::string& from, time_point now,
    control_actions& actions)
{
    emit(
        actions, event_kind::configuration_applied,
        "version " + std::to_string(next.revision) + " after " +
            std::to_string(chain.current->revision) + " from " + from + ", " +
            std::to_string(next.routes.size()) + " routes, " +
            std::to_string(next.workspaces.size()) + " workspaces");
    if (!next.unreadable.empty())
    {
        emit(
            actions, event_kind::configuration_incomplete,
            "version " + std::to_string(next.revision) + ": " +
                summary_of(next.unreadable));
    }
    state.text = text;
    if (next.data_centres.empty())
    {
        next.data_centres = state.settings.data_centres;
    }
    if (const auto found = find_unknown_regions(next); !found.empty())
    {
        emit(
            actions, event_kind::configuration_incomplete,
            "version " + std::to_string(next.revision) + ": " +
                summary_of(found));
    }
    chain.current = std::make_shared<const configuration>(std::move(next));
    chain.applied_at = now;
}

} // namespace

bool apply_document(
    document_state& state, chain_state& chain, std::string_view text,
    const std::string& from, time_point now, control_actions& actions)
{
    auto parsed = state.settings.read(text, state.settings.fleet_secret);
    if (!parsed.ok())
    {
        emit(
            actions, event_kind::configuration_rejected,
            "from " + from + ": " + std::string(parsed.status().message()));
        return false;
    }
    if (parsed->revision > chain.current->revision)
    {
        set_current(state, chain, *std::move(parsed), text, from, now, actions);
    }
    return true;
}

} // namespace cyclamenhold
