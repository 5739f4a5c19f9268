#include "core/membership/sending.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace cyclamenhold
{
namespace
{

using wire::membership::message_body;

constexpr std::int64_t max_age_ms = std::numeric_limits<std::uint32_t>::max();
// Expected number of messages per gossip round from one data centre to others,
// when all of its members have the updates.
constexpr double remote_messages_per_round = 24.0;
constexpr std::size_t remote_hosts_per_push = 2;

// Number of times that each node sends an update.
std::uint32_t transmission_limit(const membership_state& state)
{
    const auto count = static_cast<double>(state.members.size() + 2);
    return 4 * static_cast<std::uint32_t>(std::ceil(std::log10(count)));
}

struct ranked_update
{
    std::uint32_t transmissions = 0;
    bool is_remote = false;
    host_id host = host_id::none;

    friend bool operator<(const ranked_update& left, const ranked_update& right)
    {
        return std::tie(left.transmissions, left.is_remote, left.host) <
               std::tie(right.transmissions, right.is_remote, right.host);
    }
};

bool is_remote(const membership_state& state, host_id host)
{
    const auto found = state.members.find(host);
    return found != state.members.end() &&
           found->second.data_centre != state.settings.data_centre;
}

// Returns the queued updates in order of transmission, at most as many as fit
// into one message.
std::vector<ranked_update> rank_updates(const membership_state& state)
{
    constexpr std::size_t max_per_message = max_updates_size / 32;
    std::vector<ranked_update> ranked;
    ranked.reserve(state.updates.size());
    for (const auto& [host, queued] : state.updates)
    {
        ranked.push_back({queued.transmissions, is_remote(state, host), host});
    }
    const auto kept = std::min(ranked.size(), max_per_message);
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
        ranked.end());
    ranked.resize(kept);
    return ranked;
}

void add_updates(
    membership_state& state, host_id to, membership_message& message)
{
    const std::uint32_t limit = transmission_limit(state);
    std::size_t used = message.contacts.size() * sizeof(data_centre_age);
    for (const auto& update : message.updates)
    {
        used += encoded_size(update);
    }
    for (const auto& ranked : rank_updates(state))
    {
        const auto queued = state.updates.find(ranked.host);
        auto update = make_update(state, ranked.host);
        if (!update.has_value())
        {
            state.updates.erase(queued);
            continue;
        }
        update->includes_upstream = queued->second.includes_upstream;
        if (used + encoded_size(*update) > max_updates_size ||
            ranked.host == to)
        {
            continue;
        }
        used += encoded_size(*update);
        message.updates.push_back(std::move(*update));
        if (++queued->second.transmissions >= limit)
        {
            state.updates.erase(queued);
        }
    }
}

void send_gossip(
    membership_state& state, host_id to, time_point now,
    control_actions& actions)
{
    if (to != host_id::none)
    {
        send_with_updates(
            state, to, make_message(state, message_body::gossip, now), actions);
    }
}

} // namespace

membership_message
make_message(const membership_state& state, message_body kind, time_point now)
{
    membership_message message;
    message.kind = kind;
    message.sender = own_report(state);
    message.sender_upstream_version = state.local_upstream.version;
    message.revision = state.own_revision;
    message.evacuations = state.own_evacuations;
    if (kind != message_body::ack)
    {
        return message;
    }
    const auto add_contact = [&](data_centre_id id, time_point last_contact_at)
    {
        // Rounded up.
        const auto age = to_milliseconds(now - last_contact_at) + 1;
        message.contacts.push_back(
            {id, static_cast<std::uint32_t>(
                     std::clamp<std::int64_t>(age, 0, max_age_ms))});
    };
    for (const auto& [id, link] : state.data_centres)
    {
        add_contact(id, link.last_contact_at);
    }
    // Sent only with the revision that was read.
    if (state.platform_read_at != time_point{} &&
        state.own_revision >= state.highest_revision)
    {
        // Data centre `none` means the platform.
        add_contact(data_centre_id::none, state.platform_read_at);
    }
    return message;
}

std::optional<member_update>
make_update(const membership_state& state, host_id host)
{
    if (host == state.settings.self)
    {
        return member_update{own_report(state), state.local_upstream, true};
    }
    const auto found = state.members.find(host);
    if (found == state.members.end())
    {
        return std::nullopt;
    }
    return member_update{
        report_of(found->second), found->second.upstream, true};
}

void add_report_to_refute(const member& known, membership_message& message)
{
    if (known.state != member_state::alive)
    {
        message.updates.push_back({report_of(known), {}, false});
    }
}

void send_with_updates(
    membership_state& state, host_id to, membership_message message,
    control_actions& actions)
{
    if (state.gossip_budget_bytes > 0.0)
    {
        add_updates(state, to, message);
    }
    for (const auto& update : message.updates)
    {
        state.gossip_budget_bytes -= static_cast<double>(encoded_size(update));
    }
    send_message(to, message, transport::datagram, actions);
}

void send_message(
    host_id to, const membership_message& message, transport via,
    control_actions& actions)
{
    actions.messages.push_back(
        {to, message_kind::membership, via, encode(message)});
}

host_id pick_host(const std::vector<host_id>& hosts, random_source& random)
{
    if (hosts.empty())
    {
        return host_id::none;
    }
    return hosts[random_below(random, hosts.size())];
}

host_id pick_remote_host(const membership_state& state, random_source& random)
{
    const auto& remote = state.targets.remote;
    if (remote.empty())
    {
        return host_id::none;
    }
    const auto chosen = std::next(
        remote.begin(),
        static_cast<std::ptrdiff_t>(random_below(random, remote.size())));
    return pick_host(chosen->second, random);
}

void gossip_round(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    if (state.updates.empty() || state.gossip_budget_bytes <= 0.0)
    {
        return;
    }
    const auto& local = state.targets.local;
    const auto fanout =
        std::min<std::size_t>(state.settings.gossip_fanout, local.size());
    for (std::size_t sent = 0; sent < fanout; ++sent)
    {
        send_gossip(state, pick_host(local, random), now, actions);
    }
    const double remote_share =
        remote_messages_per_round / static_cast<double>(local.size() + 1);
    if (random_fraction(random) < remote_share)
    {
        send_gossip(state, pick_remote_host(state, random), now, actions);
    }
}

void push_updates(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    refresh_targets(state);
    state.gossip_budget_bytes = std::max(
        state.gossip_budget_bytes, state.settings.gossip_bytes_per_second);
    for (std::uint32_t sent = 0; sent < state.settings.gossip_fanout; ++sent)
    {
        send_gossip(
            state, pick_host(state.targets.local, random), now, actions);
    }
    for (const auto& item : state.targets.remote)
    {
        for (std::size_t sent = 0; sent < remote_hosts_per_push; ++sent)
        {
            send_gossip(state, pick_host(item.second, random), now, actions);
        }
    }
}

} // namespace cyclamenhold
