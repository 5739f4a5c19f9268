#include "core/trees/trees.hpp"

#include "core/trees/tree_messages.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <set>

#include <xxhash.h>

namespace cyclamenhold
{
namespace
{

constexpr std::string_view salt = "call trees";
// Hosts that report to one collector at tree_report_interval.
constexpr std::size_t hosts_at_full_rate = 100;
// After this many reports without a reply, the second choice collects.
constexpr std::uint32_t max_unanswered = 3;
// A collector's hosts are forgotten after this time without a report.
constexpr duration host_retention = 30s;

duration report_interval(const trees_inputs& inputs)
{
    const std::size_t hosts = inputs.members.targets.local.size() + 1;
    const double factor =
        std::max(1.0, static_cast<double>(hosts) / double(hosts_at_full_rate));
    return from_seconds(to_seconds(tree_report_interval) * factor);
}

// How long a report or an allotment is used: until the next one but one at
// least.
duration term_of(const trees_inputs& inputs, duration shortest)
{
    return std::max(shortest, report_interval(inputs) * 5 / 2);
}

// The hosts that rank first and second in each data centre, as far as this host
// knows them. The first collects, the second takes its place.
std::map<data_centre_id, std::vector<host_id>>
ranked_collectors(const trees_state& state, const membership_state& members)
{
    using ranked_host = std::pair<std::uint64_t, host_id>;
    std::map<data_centre_id, std::vector<ranked_host>> ranked;
    const auto add = [&ranked](data_centre_id data_centre, host_id host)
    {
        ranked[data_centre].emplace_back(
            XXH3_64bits_withSeed(
                salt.data(), salt.size(), static_cast<std::uint64_t>(host)),
            host);
    };
    add(state.settings.data_centre, state.settings.self);
    for (const auto& [host, known] : members.members)
    {
        if (known.state == member_state::alive)
        {
            add(known.data_centre, host);
        }
    }
    std::map<data_centre_id, std::vector<host_id>> collectors;
    for (auto& [data_centre, hosts] : ranked)
    {
        const auto kept = std::min<std::size_t>(hosts.size(), 2);
        std::partial_sort(
            hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(kept),
            hosts.end());
        for (std::size_t place = 0; place < kept; ++place)
        {
            collectors[data_centre].push_back(hosts[place].second);
        }
    }
    return collectors;
}

void update_collectors(trees_state& state, const membership_state& members)
{
    if (state.members_version == members.version && !state.collectors.empty())
    {
        return;
    }
    state.members_version = members.version;
    state.collectors = ranked_collectors(state, members);
}

// The collector to report to: the present one while it replies, otherwise the
// other one of the data centre.
host_id select_collector(const trees_state& state)
{
    const auto& ranked = state.collectors.at(state.settings.data_centre);
    const auto present = std::ranges::find(ranked, state.reports_to);
    if (present == ranked.end())
    {
        return ranked.front();
    }
    if (state.unanswered < max_unanswered || ranked.size() < 2)
    {
        return state.reports_to;
    }
    return present == ranked.begin() ? ranked[1] : ranked.front();
}

void send(host_id to, const tree_message& message, control_actions& actions)
{
    actions.messages.push_back(
        {to, message_kind::trees, transport::datagram, encode(message)});
}

void record_change(
    trees_state& state, const std::map<tree_key, tree_allotment>& allotments,
    control_actions& actions)
{
    double least = 1.0;
    for (const auto& [key, allotment] : allotments)
    {
        least = std::min(least, allotment.share);
    }
    const bool is_limited = least < 1.0;
    if (is_limited == state.is_limited)
    {
        return;
    }
    state.is_limited = is_limited;
    event new_event;
    new_event.kind = event_kind::trees_limited;
    new_event.detail =
        is_limited ? absl::StrFormat(
                         "root requests are limited: least share %.2f", least)
                   : "root requests are admitted in full";
    actions.events.push_back(std::move(new_event));
}

void apply_allotments(
    trees_state& state, const trees_inputs& inputs,
    const std::map<tree_key, tree_allotment>& allotments, time_point now,
    control_actions& actions)
{
    for (const auto& [key, allotment] : allotments)
    {
        set_allotment(
            inputs.admission, key, allotment, now,
            term_of(inputs, allotment_term));
    }
    record_change(state, allotments, actions);
}

// The allotments of the routes that enter at the reporting host.
std::map<tree_key, tree_allotment> answer_report(
    trees_state& state, const trees_inputs& inputs, host_id from,
    const tree_report& report, time_point now)
{
    state.collector.report_term = term_of(inputs, collected_term);
    collect_counts(
        state.collector, from, report.host_incarnation, report.counts, now);
    update_allotments(state.collector, tree_report_interval / 2, now);
    std::map<tree_key, tree_allotment> allotments;
    for (const auto& [key, arrivals] : report.counts.arrivals)
    {
        const auto found = state.collector.allotments.find(key);
        if (found != state.collector.allotments.end())
        {
            allotments.insert(*found);
        }
    }
    return allotments;
}

void send_report(
    trees_state& state, const trees_inputs& inputs, time_point now,
    control_actions& actions)
{
    update_collectors(state, inputs.members);
    const host_id collector = select_collector(state);
    if (collector != state.reports_to)
    {
        state.reports_to = collector;
        state.unanswered = 0;
    }
    const tree_report report{
        ++state.last_report, inputs.members.self_incarnation,
        counts_of(inputs.observer)};
    if (collector == state.settings.self)
    {
        apply_allotments(
            state, inputs, answer_report(state, inputs, collector, report, now),
            now, actions);
        return;
    }
    ++state.unanswered;
    send(collector, report, actions);
}

void send_totals(
    trees_state& state, const trees_inputs& inputs, time_point now,
    control_actions& actions)
{
    std::erase_if(
        state.collector.hosts,
        [now](const auto& entry)
        {
            return now - entry.second.received_at > host_retention;
        });
    const tree_totals totals = own_totals(state.collector, now);
    if (totals.services.empty())
    {
        return;
    }
    update_collectors(state, inputs.members);
    for (const auto& [data_centre, hosts] : state.collectors)
    {
        for (const host_id host : hosts)
        {
            if (host != state.settings.self)
            {
                send(host, totals, actions);
            }
        }
    }
}

void report_bad_input(host_id from, control_actions& actions)
{
    event new_event;
    new_event.kind = event_kind::bad_input;
    new_event.peer = from;
    new_event.detail = "message about call trees";
    actions.events.push_back(std::move(new_event));
}

} // namespace

void trees_start(
    trees_state& state, const trees_settings& settings, time_point now,
    random_source& random)
{
    state.settings = settings;
    // Hosts that start together report at different times.
    state.next_report_at =
        now + from_seconds(
                  to_seconds(tree_report_interval) * random_fraction(random));
    state.next_totals_at = now + tree_report_interval;
}

void trees_on_configuration(
    trees_state& state, const trees_inputs& inputs,
    const configuration& current)
{
    if (current.revision == state.configured_revision)
    {
        return;
    }
    state.configured_revision = current.revision;
    std::set<route_id> configured;
    for (const auto& entry : current.routes)
    {
        configured.insert(route_id_of(entry.name));
    }
    forget_other_routes(inputs.observer, configured);
    forget_other_routes(inputs.admission, configured);
}

void trees_tick(
    trees_state& state, const trees_inputs& inputs, time_point now,
    control_actions& actions)
{
    if (!state.settings.is_enabled)
    {
        return;
    }
    if (now >= state.next_report_at)
    {
        state.next_report_at = now + report_interval(inputs);
        send_report(state, inputs, now, actions);
    }
    if (now >= state.next_totals_at)
    {
        state.next_totals_at = now + tree_report_interval;
        send_totals(state, inputs, now, actions);
    }
}

void trees_on_message(
    trees_state& state, const trees_inputs& inputs,
    const incoming_message& message, time_point now, control_actions& actions)
{
    auto decoded = decode_tree_message(message.payload);
    if (!decoded)
    {
        report_bad_input(message.from, actions);
        return;
    }
    if (!state.settings.is_enabled)
    {
        return;
    }
    if (const auto* const report = std::get_if<tree_report>(&*decoded))
    {
        send(
            message.from,
            tree_reply{
                report->report,
                answer_report(state, inputs, message.from, *report, now)},
            actions);
    }
    else if (const auto* const reply = std::get_if<tree_reply>(&*decoded))
    {
        if (message.from == state.reports_to &&
            reply->report == state.last_report)
        {
            state.unanswered = 0;
            apply_allotments(state, inputs, reply->allotments, now, actions);
        }
    }
    else if (auto* const totals = std::get_if<tree_totals>(&*decoded))
    {
        collect_totals(state.collector, message.from, std::move(*totals), now);
    }
}

time_point trees_due(const trees_state& state)
{
    return state.settings.is_enabled
               ? std::min(state.next_report_at, state.next_totals_at)
               : time_point::max();
}

} // namespace cyclamenhold
