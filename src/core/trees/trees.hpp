// Budgets of call trees: every host reports what it counts to the collector of
// its data centre, the collectors exchange their totals, and each reply tells
// the host which part of its root requests the fleet admits. Runs on the
// control thread only.
#pragma once

#include "core/base/random.hpp"
#include "core/configuration/model.hpp"
#include "core/membership/membership.hpp"
#include "core/trees/tree_admission.hpp"
#include "core/trees/tree_collector.hpp"
#include "core/trees/tree_observer.hpp"
#include "ports/control_actions.hpp"
#include "ports/messages.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace cyclamenhold
{

struct trees_settings
{
    bool is_enabled = false;
    host_id self = host_id::none;
    data_centre_id data_centre = data_centre_id::none;
};

// Shared with the request path; set by the owner before the first event.
struct trees_inputs
{
    const membership_state& members;
    tree_observer& observer;
    tree_admission& admission;
};

struct trees_state
{
    trees_settings settings;
    tree_collector collector;
    time_point next_report_at{};
    time_point next_totals_at{};
    std::uint64_t last_report = 0;
    // The hosts that may collect in each data centre, the first choice first,
    // and the membership_state::version from which they follow.
    std::map<data_centre_id, std::vector<host_id>> collectors;
    std::uint64_t members_version = 0;
    // The collector to which this host reports, and its reports without a
    // reply.
    host_id reports_to = host_id::none;
    std::uint32_t unanswered = 0;
    // The configuration whose routes the counts were limited to last.
    std::uint64_t configured_revision = 0;
    // Whether any allotment here is below one; for events.
    bool is_limited = false;
};

// Interval of reports in a data centre of up to a hundred hosts. It grows with
// the hosts beyond that, so that a collector gets a bounded number of reports.
constexpr duration tree_report_interval = 200ms;

void trees_start(
    trees_state& state, const trees_settings& settings, time_point now,
    random_source& random);
// Forgets the routes that this configuration does not have.
void trees_on_configuration(
    trees_state& state, const trees_inputs& inputs,
    const configuration& current);
void trees_tick(
    trees_state& state, const trees_inputs& inputs, time_point now,
    control_actions& actions);
void trees_on_message(
    trees_state& state, const trees_inputs& inputs,
    const incoming_message& message, time_point now, control_actions& actions);
[[nodiscard]] time_point trees_due(const trees_state& state);

} // namespace cyclamenhold
