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

// Added to the age of a contact on each hop, for the time it travelled.
constexpr duration contact_hop_time = 50ms;
constexpr std::int64_t longest_age_ms =
    std::numeric_limits<std::uint32_t>::max();
// How many messages of a data centre a round sends to other data centres,
// about, once all of its members know the news.
constexpr double far_messages_a_round = 24.0;
constexpr std::size_t far_hosts_a_push = 2;

// How often each piece of news is sent by each node.
std::uint32_t transmission_limit(const membership_state& state)
{
    const auto count = static_cast<double>(state.members.size() + 2);
    return 4 * static_cast<std::uint32_t>(std::ceil(std::log10(count)));
}

struct ranked_news
{
    std::uint32_t transmissions = 0;
    bool is_far = false;
    host_id host = host_id::none;

    friend bool operator<(const ranked_news& left, const ranked_news& right)
    {
        return std::tie(left.transmissions, left.is_far, left.host) <
               std::tie(right.transmissions, right.is_far, right.host);
    }
};

bool is_far(const membership_state& state, host_id host)
{
    const auto found = state.members.find(host);
    return found != state.members.end() &&
           found->second.data_centre != state.settings.data_centre;
}

// The queue in the order in which it is to be told, as far as one message can
// hold it.
std::vector<ranked_news> rank_news(const membership_state& state)
{
    constexpr std::size_t most_in_a_message = max_news_size / 32;
    std::vector<ranked_news> ranked;
    ranked.reserve(state.news.size());
    for (const auto& [host, queued] : state.news)
    {
        ranked.push_back({queued.transmissions, is_far(state, host), host});
    }
    const auto kept = std::min(ranked.size(), most_in_a_message);
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept),
        ranked.end());
    ranked.resize(kept);
    return ranked;
}

void add_news(membership_state& state, host_id to, membership_message& message)
{
    const std::uint32_t limit = transmission_limit(state);
    std::size_t used = message.contacts.size() * sizeof(data_centre_age);
    for (const auto& news : message.news)
    {
        used += encoded_size(news);
    }
    for (const auto& ranked : rank_news(state))
    {
        const auto queued = state.news.find(ranked.host);
        auto news = news_about(state, ranked.host);
        if (!news.has_value())
        {
            state.news.erase(queued);
            continue;
        }
        news->whole_record = queued->second.whole_record;
        if (used + encoded_size(*news) > max_news_size || ranked.host == to)
        {
            continue;
        }
        used += encoded_size(*news);
        message.news.push_back(std::move(*news));
        if (++queued->second.transmissions >= limit)
        {
            state.news.erase(queued);
        }
    }
}

void send_gossip(
    membership_state& state, host_id to, time_point now,
    control_actions& actions)
{
    if (to != host_id::none)
    {
        send_with_news(
            state, to, make_message(state, message_body::gossip, now), actions);
    }
}

} // namespace

membership_message
make_message(const membership_state& state, message_body kind, time_point now)
{
    membership_message message;
    message.kind = kind;
    message.sender = own_claim(state);
    message.sender_upstream_version = state.local_upstream.version;
    message.revision = state.own_revision;
    if (kind == message_body::digest)
    {
        return message;
    }
    const auto add_contact = [&](data_centre_id id, time_point heard_at)
    {
        const auto age = to_milliseconds(now - heard_at + contact_hop_time);
        message.contacts.push_back(
            {id, static_cast<std::uint32_t>(
                     std::clamp<std::int64_t>(age, 0, longest_age_ms))});
    };
    for (const auto& [id, link] : state.data_centres)
    {
        add_contact(id, link.heard_at);
    }
    // Only together with the revision that was read.
    if (state.platform_read_at != time_point{} &&
        state.own_revision >= state.highest_revision)
    {
        // Stands for the platform.
        add_contact(data_centre_id::none, state.platform_read_at);
    }
    return message;
}

std::optional<member_news>
news_about(const membership_state& state, host_id host)
{
    if (host == state.settings.self)
    {
        return member_news{own_claim(state), state.local_upstream, true};
    }
    const auto found = state.members.find(host);
    if (found == state.members.end())
    {
        return std::nullopt;
    }
    return member_news{claim_of(found->second), found->second.upstream, true};
}

void add_doubt(const member& known, membership_message& message)
{
    if (known.state != member_state::alive)
    {
        message.news.push_back({claim_of(known), {}, false});
    }
}

void send_with_news(
    membership_state& state, host_id to, membership_message message,
    control_actions& actions)
{
    if (state.gossip_bytes > 0.0)
    {
        add_news(state, to, message);
    }
    for (const auto& news : message.news)
    {
        state.gossip_bytes -= static_cast<double>(encoded_size(news));
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

host_id pick_far_host(const membership_state& state, random_source& random)
{
    const auto& far = state.targets.far;
    if (far.empty())
    {
        return host_id::none;
    }
    const auto chosen = std::next(
        far.begin(),
        static_cast<std::ptrdiff_t>(random_below(random, far.size())));
    return pick_host(chosen->second, random);
}

void gossip_round(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    if (state.news.empty() || state.gossip_bytes <= 0.0)
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
    const double far_share =
        far_messages_a_round / static_cast<double>(local.size() + 1);
    if (random_fraction(random) < far_share)
    {
        send_gossip(state, pick_far_host(state, random), now, actions);
    }
}

void push_news(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    refresh_targets(state);
    state.gossip_bytes =
        std::max(state.gossip_bytes, state.settings.gossip_bytes_per_second);
    for (std::uint32_t sent = 0; sent < state.settings.gossip_fanout; ++sent)
    {
        send_gossip(
            state, pick_host(state.targets.local, random), now, actions);
    }
    for (const auto& item : state.targets.far)
    {
        for (std::size_t sent = 0; sent < far_hosts_a_push; ++sent)
        {
            send_gossip(state, pick_host(item.second, random), now, actions);
        }
    }
}

} // namespace cyclamenhold
