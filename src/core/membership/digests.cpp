#include "core/membership/digests.hpp"

#include "core/membership/sending.hpp"

namespace cyclamenhold
{
namespace
{

using wire::membership::message_body;

// Largest number of member records in one message, about 30 KB.
constexpr std::size_t max_records_per_message = 300;
// Added to the exchange interval for each member, so that the cost of exchanges
// is bounded in a fleet of any size.
constexpr duration interval_per_member = 4ms;
// A node that has started compares its table more often for some time: when
// many start together, gossip does not reach those that join first.
constexpr duration joining_time = 8s;
constexpr duration joining_interval = 1s;
// One exchange in this number is with another data centre.
constexpr std::uint64_t exchanges_per_remote_exchange = 4;

void send_records(
    const membership_state& state, host_id to,
    std::vector<member_update> records, time_point now,
    control_actions& actions)
{
    auto message = make_message(state, message_body::gossip, now);
    message.updates = std::move(records);
    send_message(to, message, transport::stream, actions);
}

} // namespace

void send_digest(
    membership_state& state, host_id to, bool is_reply, time_point now,
    control_actions& actions)
{
    auto message = make_message(state, message_body::digest, now);
    const auto digest = digest_with_self(state);
    message.buckets.assign(digest.begin(), digest.end());
    message.is_reply = is_reply;
    send_message(to, message, transport::datagram, actions);
}

void answer_digest(
    membership_state& state, host_id from, const membership_message& message,
    time_point now, control_actions& actions)
{
    const auto own = digest_with_self(state);
    std::vector<member_update> records;
    bool differs = false;
    const auto add = [&](host_id host)
    {
        const auto bucket = digest_bucket_of(host);
        if (own[bucket] == message.buckets[bucket] || host == from)
        {
            return;
        }
        records.push_back(*make_update(state, host));
        if (records.size() == max_records_per_message)
        {
            send_records(state, from, std::move(records), now, actions);
            records.clear();
        }
    };
    for (std::size_t bucket = 0; bucket < digest_bucket_count; ++bucket)
    {
        differs = differs || own[bucket] != message.buckets[bucket];
    }
    if (!differs)
    {
        return;
    }
    add(state.settings.self);
    for (const auto& item : state.members)
    {
        add(item.first);
    }
    if (!records.empty())
    {
        send_records(state, from, std::move(records), now, actions);
    }
    if (!message.is_reply)
    {
        send_digest(state, from, true, now, actions);
    }
}

duration next_digest_delay(
    const membership_state& state, time_point now, random_source& random)
{
    const bool is_joining = now - state.started_at < joining_time;
    const duration interval =
        is_joining
            ? joining_interval
            : state.settings.digest_interval +
                  interval_per_member * static_cast<int>(state.members.size());
    return interval / 2 +
           from_seconds(to_seconds(interval) * random_fraction(random));
}

void tick_digests(
    membership_state& state, time_point now, random_source& random,
    control_actions& actions)
{
    if (now < state.timers.digest)
    {
        return;
    }
    state.timers.digest = now + next_digest_delay(state, now, random);
    const bool use_remote =
        state.targets.local.empty() ||
        random_below(random, exchanges_per_remote_exchange) == 0;
    const host_id target = use_remote ? pick_remote_host(state, random)
                                      : pick_host(state.targets.local, random);
    if (target != host_id::none)
    {
        send_digest(state, target, false, now, actions);
    }
}

} // namespace cyclamenhold
