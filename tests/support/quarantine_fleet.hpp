// Nodes that exchange quarantined requests with each other and with a store, on
// a virtual clock. Messages arrive at once, unless a link is cut.
#pragma once

#include "core/membership/member_table.hpp"
#include "core/quarantine/quarantine.hpp"
#include "standin/key_value_store.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace cyclamenhold::testing_support
{

inline host_id quarantine_host(std::size_t node)
{
    return make_host_id(0x0a000001, static_cast<std::uint16_t>(node + 1));
}

struct quarantine_node
{
    // Absent while the node is down.
    std::unique_ptr<quarantine_state> state;
    membership_state members;
    store_caller caller = 0;
};

class quarantine_fleet
{
public:
    explicit quarantine_fleet(std::size_t size)
    {
        nodes.resize(size);
        for (std::size_t node = 0; node < size; ++node)
        {
            auto& members = nodes[node].members;
            members.settings.self = quarantine_host(node);
            start(node);
        }
        run_for(2s);
    }

    void start(std::size_t node)
    {
        quarantine_settings settings;
        settings.self = quarantine_host(node);
        nodes[node].state = std::make_unique<quarantine_state>();
        nodes[node].caller = ++last_caller_;
        quarantine_start(*nodes[node].state, settings);
        update_members();
    }

    // Ends the process of a node at once.
    void kill(std::size_t node)
    {
        store_drop_caller(store, nodes[node].caller);
        nodes[node].state.reset();
        update_members();
    }

    void crash(
        std::size_t node, std::uint64_t incarnation,
        const std::vector<std::uint64_t>& digests)
    {
        run_on(
            node,
            [&](quarantine_node& at, control_actions& actions)
            {
                quarantine_on_crash(
                    *at.state, at.members,
                    {at.state->settings.self, incarnation}, digests, now,
                    random, actions);
            });
    }

    void run_for(duration time)
    {
        const time_point end = now + time;
        while (now < end)
        {
            now = std::min(now + step, end);
            wall_clock_ms += static_cast<std::uint64_t>(to_milliseconds(step));
            poll_store();
            for (std::size_t node = 0; node < nodes.size(); ++node)
            {
                tick(node);
            }
        }
    }

    // Calls `function` on a node and performs the actions that it produces.
    template <class Function>
    void run_on(std::size_t node, Function function)
    {
        if (!nodes[node].state)
        {
            return;
        }
        control_actions actions;
        function(nodes[node], actions);
        for (const auto& call : actions.platform_calls)
        {
            store_call(store, nodes[node].caller, call, now);
        }
        for (auto& message : actions.messages)
        {
            deliver(node, message);
        }
    }

    // Answers the watch of a node with the removal of a key, which the store of
    // this fleet does not report.
    void report_removal(std::size_t node, const std::string& key)
    {
        run_on(
            node,
            [&](quarantine_node& at, control_actions& actions)
            {
                platform_reply reply;
                reply.client = platform_client::quarantine;
                reply.call_id = at.state->record.read_call;
                reply.entries.push_back({key, {}, ++store.revision, true});
                reply.revision = store.revision;
                quarantine_on_platform_reply(
                    *at.state, reply, now, random, actions);
            });
    }

    [[nodiscard]] bool knows(std::size_t node, std::uint64_t digest) const
    {
        return nodes[node].state &&
               is_quarantined(
                   build_quarantine_view(*nodes[node].state), digest);
    }

    [[nodiscard]] std::size_t count_knowing(std::uint64_t digest) const
    {
        std::size_t count = 0;
        for (std::size_t node = 0; node < nodes.size(); ++node)
        {
            count += knows(node, digest) ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::uint64_t calls_of(platform_operation operation) const
    {
        return store.counts.by_operation[static_cast<std::size_t>(operation)];
    }

    // Updates the members of each node: those that are up and that it reaches.
    void update_members()
    {
        for (std::size_t node = 0; node < nodes.size(); ++node)
        {
            auto& members = nodes[node].members;
            members.members.clear();
            ++members.version;
            ++members.targets_version;
            for (std::size_t other = 0; other < nodes.size(); ++other)
            {
                if (other != node && nodes[other].state &&
                    is_connected(node, other))
                {
                    member entry;
                    entry.host = quarantine_host(other);
                    members.members.emplace(entry.host, entry);
                }
            }
            refresh_targets(members);
        }
    }

    std::vector<quarantine_node> nodes;
    key_value_store store;
    // Whether messages between two nodes arrive.
    std::function<bool(std::size_t, std::size_t)> is_connected =
        [](std::size_t, std::size_t)
    {
        return true;
    };
    time_point now{1000s};
    std::uint64_t wall_clock_ms = 1'700'000'000'000;
    random_source random{3};

private:
    static constexpr duration step = 10ms;

    void deliver(std::size_t from, const outgoing_message& message)
    {
        const auto to = static_cast<std::size_t>(
            static_cast<std::uint64_t>(message.to) -
            static_cast<std::uint64_t>(quarantine_host(0)));
        if (!is_connected(from, to))
        {
            return;
        }
        run_on(
            to,
            [&](quarantine_node& at, control_actions& actions)
            {
                quarantine_on_message(
                    *at.state, at.members,
                    {quarantine_host(from), message.kind, message.payload}, now,
                    random, actions);
            });
    }

    void tick(std::size_t node)
    {
        run_on(
            node,
            [&](quarantine_node& at, control_actions& actions)
            {
                if (quarantine_due(*at.state) <= now)
                {
                    quarantine_tick(
                        *at.state, at.members, wall_clock_ms, now, random,
                        actions);
                }
            });
    }

    void poll_store()
    {
        for (const auto& answer : store_poll(store, now))
        {
            for (std::size_t node = 0; node < nodes.size(); ++node)
            {
                if (nodes[node].caller != answer.caller)
                {
                    continue;
                }
                run_on(
                    node,
                    [&](quarantine_node& at, control_actions& actions)
                    {
                        quarantine_on_platform_reply(
                            *at.state, answer.reply, now, random, actions);
                    });
            }
        }
    }

    store_caller last_caller_ = 0;
};

} // namespace cyclamenhold::testing_support
