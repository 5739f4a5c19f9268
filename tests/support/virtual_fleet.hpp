// Many complete nodes in one process on a virtual clock, with message loss,
// delay, duplication, reordering and partitions, platform faults, pauses,
// restarts and clock drift. Runs with the same seed are identical.
#pragma once

#include "support/virtual_network.hpp"

namespace cyclamenhold::testing_support
{

class virtual_fleet
{
public:
    explicit virtual_fleet(const fleet_options& options)
        : network(options.seed, options.links),
          random(options.seed),
          options_(options)
    {
        nodes = make_nodes(options, random);
    }

    virtual_nodes nodes;
    key_value_store platform;
    std::map<workspace_id, rate_oracle> oracles;
    std::shared_ptr<const configuration> settings =
        std::make_shared<const configuration>();
    std::function<bool(const virtual_node&)> platform_reachable;
    // Called after each event of a node.
    std::function<void(virtual_node&)> after_event;
    std::function<void(virtual_node&)> on_started;
    // Called with the result of a waiter that offer() did not create.
    std::function<void(virtual_node&, token_waiter, bool)> on_token;
    // Called for each answer to a claim request.
    std::function<void(virtual_node&, const claim_answer&)> on_claim;

    virtual_network network;
    random_source random;

    [[nodiscard]] time_point now() const
    {
        return network.now();
    }
    [[nodiscard]] time_point local_now(const virtual_node& node) const
    {
        return local_time(node, now());
    }
    [[nodiscard]] std::uint64_t wall_ms(const virtual_node& node) const
    {
        return wall_time_ms(node, now());
    }

    void start(virtual_node& node)
    {
        node.up = true;
        ++node.incarnation;
        node.paused_until = now();
        node.unreachable_since = time_point::max();
        node.random.seed(random());
        node.path = std::make_unique<request_path>();
        node.path->self = node.host;
        node.path->limiter.on_waiting = [&node]
        {
            node.tick_requested = true;
        };
        node.waiting.clear();
        node.control = std::make_unique<control_state>();
        control_settings node_settings;
        node_settings.membership.self = node.host;
        node_settings.membership.data_centre = node.data_centre;
        node_settings.membership.data_centre_name = node.data_centre_name;
        for (const auto& [host, other] : nodes)
        {
            if (host != node.host && options_.has_seed_addresses)
            {
                node_settings.membership.seeds.push_back(host);
            }
        }
        node_settings.chain.self = node.host;
        node_settings.chain.data_centre = node.data_centre;
        node_settings.rates = options_.rates;
        node_settings.rates.self = node.host;
        node_settings.rates.data_centre = node.data_centre;
        node_settings.claims = options_.claims;
        node_settings.document = options_.document;
        node_settings.claims.self = node.host;
        node_settings.claims.data_centre = node.data_centre;
        control_actions actions;
        control_start(
            *node.control, node_settings, node.path->limiter, wall_ms(node),
            local_now(node), node.random, actions);
        perform_actions(node, actions);
        if (on_started)
        {
            on_started(node);
        }
        schedule_tick(node, now());
    }

    // Discards the node's state. Messages in flight may still be delivered.
    void crash(virtual_node& node)
    {
        node.up = false;
        node.down_since = now();
        store_drop_caller(platform, caller_of(node));
        for (const auto& [waiter, workspace] : node.waiting)
        {
            ++oracles[workspace].refused;
        }
        node.waiting.clear();
        node.control.reset();
        node.path.reset();
    }

    void pause(virtual_node& node, duration time)
    {
        node.paused_until = std::max(node.paused_until, now() + time);
    }

    // Offers a request to a node, where it waits for a token up to `max_wait`.
    void offer(virtual_node& node, workspace_id workspace, duration max_wait)
    {
        if (!node.up || is_paused(node))
        {
            return;
        }
        rate_oracle& oracle = oracles[workspace];
        ++oracle.offered;
        const token_waiter waiter = ++last_waiter_;
        const time_point local = local_now(node);
        const auto answer = take_token(
            node.path->limiter, workspace, waiter, local + max_wait, local);
        if (answer.verdict == token_verdict::admitted)
        {
            record_admission(oracles[workspace], now());
        }
        else if (answer.verdict == token_verdict::refused)
        {
            ++oracle.refused;
        }
        else
        {
            node.waiting[waiter] = workspace;
        }
        if (node.tick_requested)
        {
            tick(node);
        }
    }

    // Calls `function` on the node's control state and performs its actions.
    template <class Function>
    void run_on_node(virtual_node& node, Function function)
    {
        control_actions actions;
        function(*node.control, local_now(node), node.random, actions);
        perform_actions(node, actions);
        finish_event(node);
    }

    void run_for(duration time)
    {
        const time_point until = now() + time;
        for (;;)
        {
            const time_point store_time = store_due(platform);
            const time_point event_time = network.next_event();
            if (std::min(store_time, event_time) > until)
            {
                break;
            }
            network.advance_to(std::min(store_time, event_time));
            if (store_time <= event_time)
            {
                poll_platform();
            }
            else
            {
                network.run_next();
            }
        }
        network.advance_to(until);
    }

    [[nodiscard]] bool is_paused(const virtual_node& node) const
    {
        return node.paused_until > now();
    }

    void start_all()
    {
        for (const auto& [host, node] : nodes)
        {
            start(*node);
        }
    }

private:
    static store_caller caller_of(const virtual_node& node)
    {
        return (static_cast<std::uint64_t>(node.host) << 12) | node.incarnation;
    }

    void schedule_tick(virtual_node& node, time_point when)
    {
        network.at(
            when,
            [this, &node, incarnation = node.incarnation]
            {
                if (!node.up || node.incarnation != incarnation)
                {
                    return;
                }
                if (is_paused(node))
                {
                    schedule_tick(node, node.paused_until);
                    return;
                }
                tick(node);
                const time_point due = true_time(
                    node, due_of(*node.control, options_.fixed_members), now());
                schedule_tick(node, std::max(due, now() + 1ms));
            });
    }

    void tick(virtual_node& node)
    {
        node.tick_requested = false;
        control_state& control = *node.control;
        if (!reads_documents(control.document))
        {
            control.chain.current = settings;
        }
        const time_point local = local_now(node);
        control_actions actions;
        if (options_.fixed_members)
        {
            update_fixed_members(nodes, node, options_.detection_time, now());
            control.wall_clock_ms = wall_ms(node);
            rates_tick(
                control.rates, inputs_of_rates(control), local, node.random,
                actions);
            claims_tick(
                control.claims, inputs_of_claims(control), local, node.random,
                actions);
        }
        else
        {
            control_tick(control, wall_ms(node), local, node.random, actions);
        }
        perform_actions(node, actions);
        finish_event(node);
    }

    void finish_event(virtual_node& node)
    {
        const auto results =
            settle_waiters(node.path->limiter, local_now(node));
        for (const token_waiter waiter : results.admitted)
        {
            resolve_waiter(node, waiter, true);
        }
        for (const token_waiter waiter : results.expired)
        {
            resolve_waiter(node, waiter, false);
        }
        std::vector<claim_answer> answers;
        answers.swap(node.control->claims.answers);
        for (const auto& answer : answers)
        {
            if (on_claim)
            {
                on_claim(node, answer);
            }
        }
        if (after_event)
        {
            after_event(node);
        }
    }

    void resolve_waiter(virtual_node& node, token_waiter waiter, bool admitted)
    {
        const auto found = node.waiting.find(waiter);
        if (found == node.waiting.end())
        {
            if (on_token)
            {
                on_token(node, waiter, admitted);
            }
            return;
        }
        const workspace_id workspace = found->second;
        node.waiting.erase(found);
        if (admitted)
        {
            record_admission(oracles[workspace], now());
        }
        else
        {
            ++oracles[workspace].refused;
        }
    }

    void perform_actions(virtual_node& node, control_actions& actions)
    {
        for (auto& message : actions.messages)
        {
            ++node.messages_sent;
            node.bytes_sent += message.payload.size();
            send(node, std::move(message));
        }
        for (const auto& call : actions.platform_calls)
        {
            if (platform_reachable && !platform_reachable(node))
            {
                platform_reply reply;
                reply.client = call.client;
                reply.call_id = call.call_id;
                reply.status = platform_status::unavailable;
                network.at(
                    now() + call.timeout,
                    [this, &node, incarnation = node.incarnation, reply]
                    {
                        reply_to(node, incarnation, reply);
                    });
                continue;
            }
            store_call(platform, caller_of(node), call, now());
        }
    }

    void send(virtual_node& from, outgoing_message message)
    {
        const auto found = nodes.find(message.to);
        if (found == nodes.end())
        {
            return;
        }
        virtual_node& to = *found->second;
        const auto via = message.via;
        network.transmit(
            from, to, via,
            [this, &from, &to, message = std::move(message)]
            {
                receive(from, to, message);
            });
    }

    void receive(
        const virtual_node& from, virtual_node& to,
        const outgoing_message& message)
    {
        control_actions actions;
        control_on_message(
            *to.control, {from.host, message.kind, message.payload},
            local_now(to), to.random, actions);
        perform_actions(to, actions);
        finish_event(to);
    }

    void poll_platform()
    {
        for (const auto& answer : store_poll(platform, now()))
        {
            for (const auto& [host, node] : nodes)
            {
                if (caller_of(*node) == answer.caller)
                {
                    reply_to(*node, node->incarnation, answer.reply);
                }
            }
        }
    }

    void reply_to(
        virtual_node& node, std::uint64_t incarnation,
        const platform_reply& reply)
    {
        if (!node.up || node.incarnation != incarnation)
        {
            return;
        }
        if (is_paused(node))
        {
            network.at(
                node.paused_until,
                [this, &node, incarnation, reply]
                {
                    reply_to(node, incarnation, reply);
                });
            return;
        }
        control_actions actions;
        control_on_platform_reply(
            *node.control, reply, local_now(node), node.random, actions);
        perform_actions(node, actions);
        finish_event(node);
    }

    fleet_options options_;
    token_waiter last_waiter_ = 0;
};

} // namespace cyclamenhold::testing_support
