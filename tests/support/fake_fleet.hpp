// Membership and configuration of many nodes in one process, on a virtual
// clock, with fault injection on the links and the platform.
#pragma once

#include "core/configuration/chain.hpp"
#include "core/membership/membership.hpp"
#include "standin/key_value_store.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace cyclamenhold
{

struct fleet_link_faults
{
    // Probability for each datagram. Streams lose messages only while a link is
    // down.
    double loss = 0.0;
    double duplication = 0.0;
    duration shortest_delay = 500us;
    duration longest_delay = 1500us;
};

struct fleet_node
{
    host_id host = host_id::none;
    std::string data_centre_name;
    membership_settings settings;
    std::unique_ptr<membership_state> membership;
    std::unique_ptr<chain_state> chain;
    random_source random;
    bool running = false;
    time_point paused_until{};
    bool cut_from_platform = false;
    // Local clock = offset + true time * (1 + drift).
    duration clock_offset{};
    double clock_drift = 0.0;
    // Incremented at each start and crash. Messages and replies for an earlier
    // incarnation are dropped.
    std::uint64_t incarnation = 0;
    time_point next_tick_at = time_point::max();
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t platform_calls = 0;
    std::vector<event> events;
};

struct fleet_event
{
    time_point at{};
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
    // Absent for a tick.
    std::optional<outgoing_message> message;
    host_id from = host_id::none;
};

struct later_fleet_event
{
    bool operator()(const fleet_event& left, const fleet_event& right) const
    {
        return std::tie(left.at, left.order) > std::tie(right.at, right.order);
    }
};

// Bytes of the IP and UDP headers of a datagram.
constexpr std::size_t datagram_header_size = 28;

struct fake_fleet
{
    explicit fake_fleet(std::uint64_t seed) : random(seed) {}

    random_source random;
    key_value_store platform;
    fleet_link_faults faults;
    time_point now{1000s};
    std::uint64_t wall_clock_ms = 1'700'000'000'000;
    std::vector<fleet_node> nodes;
    std::map<host_id, std::size_t> index;
    // Returns whether messages from the first node reach the second; empty when
    // all links are up.
    std::function<bool(const fleet_node&, const fleet_node&)> is_link_up;
    std::priority_queue<
        fleet_event, std::vector<fleet_event>, later_fleet_event>
        queue;
    std::uint64_t next_order = 0;
    bool record_events = true;
    std::size_t largest_datagram = 0;
};

inline time_point local_time(const fleet_node& node, time_point now)
{
    const auto since = now.time_since_epoch();
    return now + node.clock_offset +
           from_seconds(to_seconds(since) * node.clock_drift);
}

inline time_point true_time(const fleet_node& node, time_point local)
{
    if (local == time_point::max())
    {
        return local;
    }
    const double since =
        to_seconds(local.time_since_epoch() - node.clock_offset);
    return time_point{from_seconds(since / (1.0 + node.clock_drift)) + 1us};
}

// Identifies one incarnation of a node to the platform.
inline store_caller caller_of(const fleet_node& node, std::size_t node_index)
{
    return (node.incarnation << 32) | node_index;
}

inline std::size_t add_node(
    fake_fleet& fleet, const std::string& data_centre, duration offset = {})
{
    const std::size_t node_index = fleet.nodes.size();
    fleet_node node;
    node.host = make_host_id(
        0x0a000000U + static_cast<std::uint32_t>(node_index) + 1, 7400);
    node.data_centre_name = data_centre;
    node.settings.self = node.host;
    node.settings.data_centre = data_centre_id_of(data_centre);
    node.settings.data_centre_name = data_centre;
    node.random.seed(fleet.random());
    node.clock_offset = offset;
    fleet.index[node.host] = node_index;
    fleet.nodes.push_back(std::move(node));
    return node_index;
}

inline void schedule_node_tick(fake_fleet& fleet, std::size_t node_index)
{
    fleet_node& node = fleet.nodes[node_index];
    const time_point due =
        std::min(membership_due(*node.membership), chain_due(*node.chain));
    time_point at = std::max(true_time(node, due), fleet.now);
    at = std::max(at, node.paused_until);
    if (at < node.next_tick_at || node.next_tick_at <= fleet.now)
    {
        node.next_tick_at = at;
        fleet.queue.push(
            {at, fleet.next_order++, node_index, node.incarnation, {}, {}});
    }
}

inline void send_over_link(
    fake_fleet& fleet, fleet_node& node, const outgoing_message& message)
{
    const bool is_datagram = message.via == transport::datagram;
    node.bytes_sent +=
        message.payload.size() + (is_datagram ? datagram_header_size : 0);
    ++node.messages_sent;
    if (is_datagram)
    {
        fleet.largest_datagram =
            std::max(fleet.largest_datagram, message.payload.size());
    }
    const auto target = fleet.index.find(message.to);
    if (target == fleet.index.end() || message.to == node.host)
    {
        return;
    }
    const fleet_node& receiver = fleet.nodes[target->second];
    if (fleet.is_link_up && !fleet.is_link_up(node, receiver))
    {
        return;
    }
    int copies = 1;
    if (is_datagram)
    {
        copies = random_fraction(fleet.random) < fleet.faults.loss ? 0 : 1;
        copies +=
            random_fraction(fleet.random) < fleet.faults.duplication ? 1 : 0;
    }
    for (int copy = 0; copy < copies; ++copy)
    {
        const duration spread =
            fleet.faults.longest_delay - fleet.faults.shortest_delay;
        // A constant delay keeps the messages of a stream in order.
        const duration delay =
            is_datagram
                ? fleet.faults.shortest_delay +
                      from_seconds(
                          to_seconds(spread) * random_fraction(fleet.random))
                : fleet.faults.longest_delay;
        fleet.queue.push(
            {fleet.now + delay, fleet.next_order++, target->second,
             receiver.incarnation, message, node.host});
    }
}

inline void perform_actions(
    fake_fleet& fleet, std::size_t node_index, control_actions& actions)
{
    fleet_node& node = fleet.nodes[node_index];
    for (const auto& message : actions.messages)
    {
        send_over_link(fleet, node, message);
    }
    for (const auto& call : actions.platform_calls)
    {
        ++node.platform_calls;
        if (node.cut_from_platform)
        {
            platform_reply reply;
            reply.client = call.client;
            reply.call_id = call.call_id;
            reply.status = platform_status::unavailable;
            fleet.platform.answers.emplace(
                fleet.now + call.timeout,
                store_answer{caller_of(node, node_index), reply});
            continue;
        }
        store_call(
            fleet.platform, caller_of(node, node_index), call, fleet.now);
    }
    if (fleet.record_events)
    {
        for (auto& recorded : actions.events)
        {
            node.events.push_back(std::move(recorded));
        }
    }
    publish_to_membership(*node.chain, *node.membership);
    schedule_node_tick(fleet, node_index);
}

inline void start_node(fake_fleet& fleet, std::size_t node_index)
{
    fleet_node& node = fleet.nodes[node_index];
    node.membership = std::make_unique<membership_state>();
    node.chain = std::make_unique<chain_state>();
    node.running = true;
    node.paused_until = {};
    node.next_tick_at = time_point::max();
    ++node.incarnation;
    control_actions actions;
    const time_point local = local_time(node, fleet.now);
    membership_start(
        *node.membership, node.settings, ++fleet.wall_clock_ms, local,
        node.random, actions);
    chain_start(
        *node.chain, {node.host, node.settings.data_centre}, local, node.random,
        actions);
    perform_actions(fleet, node_index, actions);
}

// Stops a node without a message to its peers.
inline void crash_node(fake_fleet& fleet, std::size_t node_index)
{
    fleet_node& node = fleet.nodes[node_index];
    store_drop_caller(fleet.platform, caller_of(node, node_index));
    node.running = false;
    ++node.incarnation;
}

// Disconnects a node from the platform. Its calls in progress fail as
// unavailable after 2 s.
inline void cut_from_platform(fake_fleet& fleet, std::size_t node_index)
{
    fleet_node& node = fleet.nodes[node_index];
    node.cut_from_platform = true;
    const store_caller caller = caller_of(node, node_index);
    std::vector<platform_reply> replies;
    for (const auto* calls :
         {&fleet.platform.in_transit, &fleet.platform.watches})
    {
        for (const auto& [at, pending] : *calls)
        {
            if (pending.caller == caller)
            {
                replies.push_back(
                    {pending.call.client,
                     pending.call.call_id,
                     platform_status::unavailable,
                     {},
                     0,
                     0});
            }
        }
    }
    for (const auto& [at, answer] : fleet.platform.answers)
    {
        if (answer.caller == caller)
        {
            replies.push_back(answer.reply);
            replies.back().status = platform_status::unavailable;
            replies.back().entries.clear();
        }
    }
    store_drop_caller(fleet.platform, caller);
    for (const auto& reply : replies)
    {
        fleet.platform.answers.emplace(
            fleet.now + 2s, store_answer{caller, reply});
    }
}

inline void tick_node(fake_fleet& fleet, std::size_t node_index)
{
    fleet_node& node = fleet.nodes[node_index];
    control_actions actions;
    const time_point local = local_time(node, fleet.now);
    membership_tick(*node.membership, local, node.random, actions);
    chain_tick(*node.chain, *node.membership, local, node.random, actions);
    perform_actions(fleet, node_index, actions);
}

inline void deliver(fake_fleet& fleet, const fleet_event& arrived)
{
    fleet_node& node = fleet.nodes[arrived.node];
    control_actions actions;
    const time_point local = local_time(node, fleet.now);
    const incoming_message message{
        arrived.from, arrived.message->kind, arrived.message->payload};
    if (message.kind == message_kind::membership)
    {
        membership_on_message(
            *node.membership, message, local, node.random, actions);
    }
    else
    {
        chain_on_message(
            *node.chain, *node.membership, message, local, node.random,
            actions);
    }
    perform_actions(fleet, arrived.node, actions);
}

inline void receive_platform_reply(
    fake_fleet& fleet, store_caller caller, const platform_reply& reply)
{
    const std::size_t node_index = caller & 0xffffffff;
    if (node_index >= fleet.nodes.size())
    {
        return;
    }
    fleet_node& node = fleet.nodes[node_index];
    if (!node.running || caller != caller_of(node, node_index))
    {
        return;
    }
    control_actions actions;
    const time_point local = local_time(node, fleet.now);
    if (reply.client == platform_client::membership)
    {
        membership_on_platform_reply(
            *node.membership, reply, local, node.random, actions);
    }
    else
    {
        chain_on_platform_reply(
            *node.chain, *node.membership, reply, local, node.random, actions);
    }
    perform_actions(fleet, node_index, actions);
}

inline void run_event(fake_fleet& fleet, fleet_event current)
{
    fleet_node& node = fleet.nodes[current.node];
    if (!node.running || current.incarnation != node.incarnation)
    {
        return;
    }
    if (fleet.now < node.paused_until)
    {
        // The socket of the paused host buffers it until the host resumes.
        current.at = node.paused_until;
        current.order = fleet.next_order++;
        fleet.queue.push(std::move(current));
        return;
    }
    if (current.message.has_value())
    {
        deliver(fleet, current);
        return;
    }
    if (current.at == node.next_tick_at)
    {
        node.next_tick_at = time_point::max();
        tick_node(fleet, current.node);
    }
}

inline void run_until(
    fake_fleet& fleet, time_point end,
    const std::function<void()>& after_each = {})
{
    while (true)
    {
        const time_point next_event =
            fleet.queue.empty() ? time_point::max() : fleet.queue.top().at;
        const time_point next_store = store_due(fleet.platform);
        const time_point next = std::min(next_event, next_store);
        if (next > end)
        {
            break;
        }
        fleet.now = std::max(fleet.now, next);
        for (const auto& answer : store_poll(fleet.platform, fleet.now))
        {
            receive_platform_reply(fleet, answer.caller, answer.reply);
        }
        if (next_event <= fleet.now && !fleet.queue.empty())
        {
            fleet_event current = fleet.queue.top();
            fleet.queue.pop();
            run_event(fleet, std::move(current));
        }
        if (after_each)
        {
            after_each();
        }
    }
    fleet.now = end;
}

inline void run_for(fake_fleet& fleet, duration span)
{
    run_until(fleet, fleet.now + span);
}

// Runs until the condition holds, and checks it every 50 ms. Returns false when
// it does not hold within `limit`.
inline bool run_until_true(
    fake_fleet& fleet, duration limit, const std::function<bool()>& condition)
{
    const time_point end = fleet.now + limit;
    while (!condition())
    {
        if (fleet.now >= end)
        {
            return false;
        }
        run_for(fleet, 50ms);
    }
    return true;
}

// Calls `action` on a node outside of scheduled events, and performs the
// actions that it produces.
inline void run_on_node(
    fake_fleet& fleet, std::size_t node_index,
    const std::function<void(
        fleet_node&, time_point, random_source&, control_actions&)>& action)
{
    fleet_node& node = fleet.nodes[node_index];
    control_actions actions;
    action(node, local_time(node, fleet.now), node.random, actions);
    perform_actions(fleet, node_index, actions);
}

inline void set_node_upstream(
    fake_fleet& fleet, std::size_t node_index, const upstream_record& record)
{
    run_on_node(
        fleet, node_index,
        [&](fleet_node& node, time_point now, random_source& random,
            control_actions& actions)
        {
            membership_set_upstream(
                *node.membership, record, now, random, actions);
        });
}

inline member_state
state_of(const fake_fleet& fleet, std::size_t viewer, std::size_t subject)
{
    const auto& members = fleet.nodes[viewer].membership->members;
    const auto found = members.find(fleet.nodes[subject].host);
    return found == members.end() ? member_state::left : found->second.state;
}

// Returns whether the alive members of every running node are exactly the other
// running nodes, each with its current incarnation and upstream.
inline bool is_converged(const fake_fleet& fleet)
{
    std::size_t running = 0;
    for (const auto& node : fleet.nodes)
    {
        running += node.running ? 1 : 0;
    }
    for (const auto& viewer : fleet.nodes)
    {
        if (!viewer.running)
        {
            continue;
        }
        std::size_t alive = 0;
        for (const auto& [host, entry] : viewer.membership->members)
        {
            const fleet_node& subject = fleet.nodes[fleet.index.at(host)];
            const bool is_alive = entry.state == member_state::alive;
            if (is_alive != subject.running ||
                (is_alive &&
                 (entry.host_incarnation !=
                      subject.membership->self_incarnation ||
                  entry.upstream != subject.membership->local_upstream)))
            {
                return false;
            }
            alive += is_alive ? 1 : 0;
        }
        if (alive + 1 != running)
        {
            return false;
        }
    }
    return true;
}

// Adds and starts `count` nodes, assigned to the data centres in turn.
inline void add_nodes(
    fake_fleet& fleet, const std::vector<std::string>& data_centres,
    std::size_t count)
{
    for (std::size_t node_index = 0; node_index < count; ++node_index)
    {
        const auto added =
            add_node(fleet, data_centres[node_index % data_centres.size()]);
        start_node(fleet, added);
    }
}

} // namespace cyclamenhold
